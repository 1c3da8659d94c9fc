export * from './constants.js';
export * from './decisionLog.js';
export * from './invariants.js';
export * from './metrics.js';
export type * from './types.js';
export * from './utils.js';
