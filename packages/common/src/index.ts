export * from './clock.js';
export * from './constants.js';
export * from './errors.js';
export * from './manualClock.js';
export * from './random.js';
export * from './types.js';
export * from './utils.js';
