export * from './constants.js';
export { formatConfiguration } from './deploymentFiles.js';
export * from './localDeployment.js';
export * from './localProcess.js';
export * from './types.js';
export * from './utils.js';
