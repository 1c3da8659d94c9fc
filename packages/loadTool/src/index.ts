export * from './comparison.js';
export * from './constants.js';
export { isCorrect } from './orderAudit.js';
export * from './plan.js';
export * from './plot.js';
export * from './rateProfile.js';
export * from './runLoad.js';
export * from './standinClient.js';
export * from './types.js';
