export * from './constants.js';
export * from './parseConfiguration.js';
export * from './types.js';
