export * from './addressBook.js';
export * from './constants.js';
export * from './evictionPolicy.js';
export * from './memberLease.js';
export * from './types.js';
export * from './utils.js';
export * from './vmListReader.js';
export * from './vmListTracker.js';
