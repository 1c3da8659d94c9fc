export * from './constants.js';
export type * from './types.js';
