export * from './admissionQueue.js';
export * from './constants.js';
export { CrashLedger } from './crashLedger.js';
export type { CrashReport, CrashVerdict, Quarantine } from './crashLedger.js';
export { decideAdmission, predictWait } from './decideAdmission.js';
export { RetryAfterEstimator } from './retryAfterEstimator.js';
export type * from './types.js';
export { calculateRetryAfterMs } from './utils.js';
