export * from './answers.js';
export * from './callerRequest.js';
export * from './constants.js';
export * from './types.js';
