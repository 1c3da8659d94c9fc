export { decodeRecord, encodeRecord, encodeState } from './codec.js';
export { INITIAL_STATE } from './constants.js';
export * from './fold.js';
export { createSnapshot, createUnboundSnapshot, decodeState, mergeState } from './state.js';
export * from './types.js';
export { findMember, isNewerInPart, isTakenOut } from './utils.js';
