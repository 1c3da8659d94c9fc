export * from './constants.js';
export * from './memberLease.js';
export * from './types.js';
export * from './utils.js';
