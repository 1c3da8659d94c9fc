export * from './constants.js';
export * from './types.js';
