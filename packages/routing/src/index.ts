export * from './constants.js';
export * from './deadline.js';
export * from './decideRetry.js';
export * from './forwardSelector.js';
export * from './hedgeBudget.js';
export * from './instanceSelector.js';
export * from './latencyQuantile.js';
export * from './retryBudget.js';
export type * from './types.js';
