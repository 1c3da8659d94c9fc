export { DEFAULT_SHAPE, LATE_CREDIT } from './constants.js';
export { Emulator } from './emulator.js';
export * from './loads.js';
export * from './policies.js';
export type * from './types.js';
