import { expect } from 'chai';
import fc from 'fast-check';

import { ManualClock } from '@bronzelift/common';

import { MIN_STORE_OUTAGE_MS, REGISTRATION_RENEWAL_GRACE_MS } from '../src/constants.js';
import { ControlState } from '../src/controlState.js';
import { OutageTracker } from '../src/outageTracker.js';
import { decodeMessage, encodeChanges } from '../src/peerMessages.js';
import type { GatewayConfiguration, InstanceChange, InstanceRecord } from '../src/types.js';
import { createRecord } from './support/createRecord.js';

const seedOption = process.env.SEED === undefined ? {} : { seed: Number(process.env.SEED) };

const createConfiguration = (version: number): GatewayConfiguration => ({
  version,
  routes: [],
  services: [],
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
});

/**
 * Creates a state, and records the instances and configuration versions that its listener receives.
 */
const createState = () => {
  const clock = ManualClock.create();
  const used = new Map<string, InstanceRecord>();
  const versions: number[] = [];
  const state = ControlState.create(clock, {
    onConfiguration: ({ version }) => versions.push(version),
    onDomains: () => {},
    onInstances: (changed, removed) => {
      for (const id of removed) used.delete(id);
      for (const record of changed) used.set(record.id, record);
    },
    onRetained: () => {},
    onUnreadable: () => {},
  });
  return { clock, state, used, versions };
};

type Content = (offset: number) => InstanceChange;

const registered =
  (record: InstanceRecord): Content =>
  (offset) => ({ kind: 'registered', offset, record });

const removed =
  (instanceId: string): Content =>
  (offset) => ({ kind: 'removed', offset, instanceId });

/** Creates a page whose records end before `nextOffset`. */
const createPage = (contents: readonly Content[], nextOffset: number) => ({
  storeEra: 0,
  changes: contents.map((content, index) => content(nextOffset - contents.length + index)),
  nextOffset,
});

const afterOutage = (clock: ManualClock): number =>
  clock.monotonicMs() + REGISTRATION_RENEWAL_GRACE_MS;

describe('ControlState', () => {
  // Guards against an instance that stays in use although its registration was removed, when one
  // page contains several records of it.
  it('uses exactly the instances whose latest record registers them, however records are paged', () => {
    const change = fc.record({ id: fc.constantFrom('x', 'y', 'z'), isRemoval: fc.boolean() });
    fc.assert(
      fc.property(fc.array(fc.array(change, { maxLength: 6 }), { maxLength: 8 }), (pages) => {
        const { state, used } = createState();
        const peer = createState();
        peer.state.replaceInstances(createPage([], 0), undefined);
        const expected = new Map<string, boolean>();
        let nextOffset = 0;
        for (const page of pages) {
          const firstSequence = nextOffset + 1;
          const contents = page.map(({ id, isRemoval }, index) => {
            const sequence = firstSequence + index;
            expected.set(id, !isRemoval);
            return isRemoval ? removed(id) : registered(createRecord(id, { sequence }));
          });
          nextOffset += contents.length;
          const read = createPage(contents, nextOffset);
          const entries = state.applyInstanceChanges(read, undefined);
          for (const datagram of encodeChanges(entries)) {
            const received = decodeMessage(datagram);
            if (received?.kind !== 'changes') throw new Error('the changes are not decoded');
            peer.state.mergeInstanceChanges(received.entries);
          }
        }
        const registeredIds = [...expected]
          .filter(([, isRegistered]) => isRegistered)
          .map(([id]) => id);
        expect([...used.keys()]).to.have.members(registeredIds);
        expect([...peer.used.keys()]).to.have.members(registeredIds);
        expect(peer.state.digest).to.equal(state.digest);
      }),
      seedOption,
    );
  });

  // Guards against an older record that arrives late and puts a draining or removed instance back
  // into use.
  it('ignores records that are older than the known registration or its removal', () => {
    const { state, used } = createState();
    const draining = createRecord('x', { sequence: 5, isDraining: true });
    state.applyInstanceChanges(createPage([registered(draining)], 1), undefined);
    const older = registered(createRecord('x', { sequence: 4 }));
    state.applyInstanceChanges(createPage([older], 2), undefined);
    expect(used.get('x')!.isDraining).to.equal(true);
    state.applyInstanceChanges(createPage([removed('x')], 3), undefined);
    state.applyInstanceChanges(createPage([older], 4), undefined);
    expect(used.has('x')).to.equal(false);
    const restarted = registered(createRecord('x', { startedAtWallMs: 2, sequence: 1 }));
    state.applyInstanceChanges(createPage([restarted], 5), undefined);
    expect(used.has('x')).to.equal(true);
  });

  // Guards against the removal of running instances whose registrations expired because they could
  // not renew them during an outage.
  it('defers the removal of instances whose registrations are missing after an outage', () => {
    const { clock, state, used } = createState();
    const both = [registered(createRecord('x')), registered(createRecord('y'))];
    state.applyInstanceChanges(createPage(both, 2), undefined);
    state.applyInstanceChanges(createPage([removed('x'), removed('y')], 4), afterOutage(clock));
    expect([...used.keys()]).to.have.members(['x', 'y']);
    const back = registered(createRecord('x', { sequence: 2 }));
    state.applyInstanceChanges(createPage([back], 5), afterOutage(clock));
    clock.advance(REGISTRATION_RENEWAL_GRACE_MS);
    state.removeExpired();
    expect([...used.keys()]).to.deep.equal(['x']);
  });

  // Guards against skipping the record that renews an expired registration when a peer has read it
  // and announces a later offset.
  it('does not advance past a renewal that a peer has read while a removal is deferred', () => {
    const { clock, state, used } = createState();
    const peer = createState();
    const page = createPage([registered(createRecord('x'))], 1);
    state.applyInstanceChanges(page, undefined);
    peer.state.applyInstanceChanges(page, undefined);
    state.applyInstanceChanges(createPage([removed('x')], 2), afterOutage(clock));
    const back = registered(createRecord('x', { sequence: 2 }));
    peer.state.applyInstanceChanges(createPage([removed('x'), back], 3), undefined);
    state.advanceInstancePosition(peer.state.nextInstancePosition!, peer.state.digest);
    expect(state.nextInstancePosition).to.equal(2);
    state.mergeInstanceChangesSince(peer.state.listInstanceChangesSince(2)!);
    state.applyInstanceChanges(createPage([back], 3), undefined);
    clock.advance(REGISTRATION_RENEWAL_GRACE_MS);
    state.removeExpired();
    expect([...used.keys()]).to.deep.equal(['x']);
  });

  // Guards against members that send a cold instance too many requests because the digest does not
  // change when an instance turns cold.
  it('sends an instance that turned cold to peers, although the digest is unchanged', () => {
    const { state } = createState();
    const peer = createState();
    const page = createPage([registered(createRecord('x'))], 1);
    state.applyInstanceChanges(page, undefined);
    peer.state.applyInstanceChanges(page, undefined);
    const cold = registered(createRecord('x', { sequence: 2, coldForMs: 3_000 }));
    const entries = state.applyInstanceChanges(createPage([cold], 2), undefined);
    expect(entries).to.have.length(1);
    peer.state.mergeInstanceChanges(entries);
    expect(peer.used.get('x')!.coldForMs).to.equal(3_000);
  });

  // Guards against a configuration that reverts when an older state arrives from another entry VM.
  it('does not adopt an older operator state', () => {
    const { state, versions } = createState();
    const source = createState();
    const page = (version: number, nextOffset: number) => ({
      storeEra: 0,
      changes: [{ kind: 'configuration' as const, configuration: createConfiguration(version) }],
      nextOffset,
    });
    source.state.applyOperatorChanges(page(3, 1));
    const old = source.state.createOperatorSnapshot();
    source.state.applyOperatorChanges(page(7, 2));
    expect(state.adoptOperatorSnapshot(source.state.createOperatorSnapshot())).to.equal(true);
    expect(state.adoptOperatorSnapshot(old)).to.equal(false);
    state.applyOperatorChanges(page(3, 1));
    expect(versions).to.deep.equal([7]);
  });

  // Guards against peers that never fetch the first configuration because its revision equals that
  // of an empty stream.
  it('counts the first record as newer than an empty stream', () => {
    const { state } = createState();
    state.applyOperatorChanges({ storeEra: 0, changes: [], nextOffset: 0 });
    const empty = state.revision;
    const change = { kind: 'configuration' as const, configuration: createConfiguration(1) };
    state.applyOperatorChanges({ storeEra: 0, changes: [change], nextOffset: 1 });
    expect(state.revision).to.be.above(empty);
  });

  // Guards against a removed instance that comes back with the state of a peer that has read
  // renewals which this entry VM has not.
  it('does not use a removed instance again after taking the state of a peer that deferred its removal', () => {
    const { state, used } = createState();
    const reader = createState();
    const peer = createState();
    const first = createPage([registered(createRecord('x')), registered(createRecord('y'))], 2);
    for (const each of [state, reader.state, peer.state]) {
      each.applyInstanceChanges(first, undefined);
    }
    const renewal = registered(createRecord('x', { sequence: 2 }));
    const read = createPage([renewal, removed('x')], 4);
    // Members that do not read the store receive the removal without the renewals before it.
    state.mergeInstanceChanges(reader.state.applyInstanceChanges(read, undefined));
    peer.state.applyInstanceChanges(read, afterOutage(peer.clock));
    const another = createPage([registered(createRecord('z'))], 5);
    peer.state.applyInstanceChanges(another, undefined);
    state.mergeInstanceSnapshot(peer.state.createInstanceSnapshot()!);
    expect([...used.keys()]).to.have.members(['y', 'z']);
  });

  // Guards against an instance in use long after its removal because a reader took its own failed
  // calls for an outage of the store.
  it('defers no removal beyond the time within which instances renew after an outage', () => {
    const { clock, state, used } = createState();
    state.applyInstanceChanges(createPage([registered(createRecord('x'))], 1), undefined);
    const outages = OutageTracker.create();
    outages.recordRead(clock.monotonicMs(), false);
    clock.advance(MIN_STORE_OUTAGE_MS + 1);
    outages.recordRead(clock.monotonicMs(), true);
    clock.advance(REGISTRATION_RENEWAL_GRACE_MS - 1);
    const renewableUntilMs = outages.renewableUntilMs(clock.monotonicMs());
    state.applyInstanceChanges(createPage([removed('x')], 2), renewableUntilMs);
    clock.advance(2);
    state.removeExpired();
    expect([...used.keys()]).to.deep.equal([]);
  });
});
