export * from './backendPool.js';
export { BufferBudget } from './bufferBudget.js';
export * from './constants.js';
export { isConnectionRefused } from './openSocket.js';
export type * from './types.js';
export { copyHeaders } from './utils.js';
export { bronzeliftDialect } from './bronzeliftDialect.js';
