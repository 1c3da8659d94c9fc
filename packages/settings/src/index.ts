export * from './constants.js';
export * from './iniDocument.js';
export * from './results.js';
export * from './schemaCheck.js';
export * from './settings.js';
export * from './types.js';
export * from './utils.js';
