export { GatewayDaemon } from './gatewayDaemon.js';
export type { GatewayDaemonOptions } from './gatewayDaemon.js';
export type { Quarantine } from '@bronzelift/admission';
export type * from './types.js';
export { findImplausibleField, isHostAddress, isWallMs } from './fieldBounds.js';
export { electRelays } from './members/index.js';
