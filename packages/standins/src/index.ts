export * from './behaviors.js';
export * from './constants.js';
export * from './expectedBody.js';
export * from './types.js';
