export * from './baselineServer.js';
export * from './constants.js';
export * from './inputs.js';
export * from './policy.js';
export * from './types.js';
