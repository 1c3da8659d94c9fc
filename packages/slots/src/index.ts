export * from './assignSlots.js';
export * from './constants.js';
export * from './instanceAllowance.js';
export * from './probeBudget.js';
export * from './slotRights.js';
export * from './types.js';
export * from './utils.js';
export * from './usualLatency.js';
