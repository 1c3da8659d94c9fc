export { electRelays } from './relayElection.js';
export { RelayExchange } from './relayExchange.js';
export type { RelayExchangeOptions, SpreadTargets } from './relayExchange.js';
export { RosterFetcher } from './rosterFetcher.js';
export type { FetchedRelay } from './rosterFetcher.js';
export { Roster } from './roster.js';
export type * from './types.js';
