import { expect } from 'chai';

import { SeededRandom, sleep } from '@bronzelift/common';

import { MAX_DATAGRAM_BYTES, MAX_ROSTER_CHANGES, ROSTER_FETCH_DELAY_MS } from '../src/constants.js';
import { Roster, RosterFetcher } from '../src/members/index.js';
import type { FetchedRelay, ListedMember } from '../src/members/index.js';
import { decodeMessage, encodeMessage } from '../src/peerMessages.js';

const RELAYS: readonly FetchedRelay[] = ['edge-1', 'edge-2'].map((vmId, index) => ({
  vmId,
  failureDomainId: 'zone-a',
  host: `10.0.0.${index + 1}`,
}));

const createMember = (index: number): ListedMember => ({
  status: {
    vmId: `edge-${index}`,
    incarnation: 'a',
    failureDomainId: 'zone-a',
    callerEndpoint: { host: `10.0.0.${index}`, port: 80 },
    phase: 'ready',
    isStoreFailing: false,
    isReader: false,
    storeReadAgeMs: 0,
    operatorRevision: 0,
    configurationVersion: 0,
    instancePosition: 0,
    instanceDigest: 0,
    isCutOff: false,
    unreachedServices: [],
    quarantineDigest: 0,
    sequence: 1,
    purpose: 'report',
  },
  host: `10.0.0.${index}`,
});

describe('RosterFetcher', () => {
  // Guards against members that ask overloaded relays again at each digest, so that none is answered.
  it('asks one relay of a failure domain at a time, and less often after failures', async () => {
    const stopped = new AbortController();
    let running = 0;
    let most = 0;
    let failures = 0;
    let behindChecks = 0;
    const fetcher = RosterFetcher.create({
      random: SeededRandom.create(1),
      isBehind: () => {
        behindChecks += 1;
        return true;
      },
      fetchRosters: async () => {
        running += 1;
        most = Math.max(most, running);
        await sleep(5);
        running -= 1;
        throw new Error('no whole response in time');
      },
      onFetched: () => {},
      onFailed: () => {
        failures += 1;
      },
      signal: stopped.signal,
    });
    const untilMs = performance.now() + 20 * ROSTER_FETCH_DELAY_MS;
    while (performance.now() < untilMs) {
      for (const relay of RELAYS) fetcher.request(relay);
      await sleep(10);
    }
    stopped.abort();
    expect(most).to.equal(1);
    expect(behindChecks).to.equal(failures);
    // Without a backoff it would be about forty.
    expect(failures).to.be.within(2, 10);
  });

  // Guards against a fetch of a list that changes have led to meanwhile.
  it('does not ask a relay whose list is known by then', async () => {
    let fetches = 0;
    let isBehind = true;
    const fetcher = RosterFetcher.create({
      random: SeededRandom.create(1),
      isBehind: () => isBehind,
      fetchRosters: async () => {
        fetches += 1;
        return [];
      },
      onFetched: () => {},
      onFailed: () => {},
      signal: new AbortController().signal,
    });
    fetcher.request(RELAYS[0]!);
    isBehind = false;
    await sleep(2 * ROSTER_FETCH_DELAY_MS);
    expect(fetches).to.equal(0);
  });
});

describe('steps from one roster to the next', () => {
  // Guards against a large change whose parts do not follow each other, so that all members fetch.
  it('lead to the next roster, each from the digest before it', () => {
    const former = Roster.create([1, 2, 3, 4, 5].map(createMember));
    const next = Roster.create([4, 5, 6, 7, 8, 9, 10, 11, 12].map(createMember));
    const steps = former.splitChanges(next, 3);
    const view = Roster.create(former.list());
    for (const { formerDigest, digest, changed, removed } of steps) {
      expect(changed.length + removed.length).to.be.within(1, 3);
      expect(view.digest).to.equal(formerDigest);
      for (const member of changed) view.set(member);
      for (const vmId of removed) view.remove(vmId);
      expect(view.digest).to.equal(digest);
    }
    expect(view.digest).to.equal(next.digest);
    expect(view.list()).to.have.length(next.list().length);
  });

  // Guards against steps that do not fit into a datagram, or that the decoder of changes rejects.
  it('are sent as the changes of a list that members of earlier builds know', () => {
    const next = Roster.create(Array.from({ length: 20 }, (_item, index) => createMember(index)));
    for (const step of Roster.create().splitChanges(next, MAX_ROSTER_CHANGES)) {
      const change = { relayId: 'edge-1', failureDomainId: 'zone-a', ...step };
      const data = encodeMessage({ kind: 'roster-change', change });
      expect(data.length).to.be.at.most(MAX_DATAGRAM_BYTES);
      expect(decodeMessage(data)).to.deep.equal({ kind: 'roster-change', change });
    }
  });
});
