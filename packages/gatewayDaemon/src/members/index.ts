export { electRelays } from './relayElection.js';
export { RelayExchange } from './relayExchange.js';
export type { RelayExchangeOptions, SpreadTargets } from './relayExchange.js';
export { Roster } from './roster.js';
export type * from './types.js';
