import { expect } from 'chai';

import {
  INSTANCE_READ_INTERVAL_MS,
  OPERATOR_FETCH_DELAY_RANGE_MS,
  OPERATOR_POLL_TIMEOUT_MS,
  READER_CHECK_INTERVAL_MS,
  READER_LOST_MS,
  ROSTER_CHANGE_DELAY_MS,
  STORE_SUSPECT_MS,
} from '../src/constants.js';

/** Tightest bound of a deployment for registrations and configurations. */
const CHANGE_LIMIT_MS = 2_000;
/** Time after a disruption of its connections from which on a member counts as undisturbed. */
const STABILITY_MS = 3_000;
/** Time that the store client adds to a long poll before it gives it up. */
const POLL_MARGIN_MS = 500;
/** A read of a sound store, with its way there and back. */
const READ_MS = 10;
/** A fetch of state from another member, or datagrams over a relay. */
const TRANSFER_MS = 40;
/** Operators' records are fetched by the relays, and then by the other members. */
const FETCHES_MS = 2 * (OPERATOR_FETCH_DELAY_RANGE_MS + TRANSFER_MS);
const RELAY_READ_MS = READER_LOST_MS + READER_CHECK_INTERVAL_MS + READ_MS;
const NEW_READER_MS =
  INSTANCE_READ_INTERVAL_MS +
  STORE_SUSPECT_MS +
  ROSTER_CHANGE_DELAY_MS +
  READER_CHECK_INTERVAL_MS +
  READ_MS;

describe('time until a change in the store takes effect everywhere', () => {
  const cases: readonly { name: string; sumMs: number; limitMs: number }[] = [
    {
      name: 'registrations',
      sumMs: INSTANCE_READ_INTERVAL_MS + READ_MS + TRANSFER_MS,
      limitMs: CHANGE_LIMIT_MS,
    },
    {
      name: 'registrations, all readers killed or frozen',
      sumMs: RELAY_READ_MS + TRANSFER_MS,
      limitMs: CHANGE_LIMIT_MS,
    },
    {
      name: 'registrations, all readers cut off from the store',
      sumMs: NEW_READER_MS + TRANSFER_MS,
      limitMs: CHANGE_LIMIT_MS,
    },
    {
      name: "operators' records, all watchers killed or frozen",
      sumMs: RELAY_READ_MS + OPERATOR_FETCH_DELAY_RANGE_MS + TRANSFER_MS,
      limitMs: CHANGE_LIMIT_MS,
    },
    {
      name: "operators' records, all watchers cut off from the store",
      sumMs: NEW_READER_MS + FETCHES_MS,
      limitMs: CHANGE_LIMIT_MS,
    },
    {
      name: "operators' records, all long polls silent",
      sumMs: OPERATOR_POLL_TIMEOUT_MS + POLL_MARGIN_MS + FETCHES_MS,
      limitMs: STABILITY_MS,
    },
  ];
  for (const { name, sumMs, limitMs } of cases) {
    // Guards against an interval that is raised without regard to the bound that it is a part of.
    it(`is bounded by the intervals: ${name}`, () => {
      expect(sumMs).to.be.below(limitMs);
    });
  }
});
