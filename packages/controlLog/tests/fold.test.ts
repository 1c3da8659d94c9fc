import { expect } from 'chai';
import fc from 'fast-check';

import {
  INITIAL_STATE,
  advanceState,
  createSnapshot,
  decodeState,
  encodeRecord,
  encodeState,
  foldRecord,
  hasHigherCounter,
  mergeState,
} from '../src/index.js';
import type { ControlState, FoldResult, LogRecord } from '../src/index.js';
import { SEED, createMember, createText, describeState } from './logModel.js';

const fold = (state: ControlState, record: LogRecord): FoldResult =>
  foldRecord(state, state.nextOffset, encodeRecord(record));

const applyRecord = (basedOnVersion: number, text: string): LogRecord => ({
  kind: 'configuration-applied',
  applyId: `on${basedOnVersion}`,
  basedOnVersion,
  text,
});

const createStateWithMember = (): ControlState =>
  fold(INITIAL_STATE, { kind: 'member-joined', ...createMember(1, 1) }).state;

describe('foldRecord', () => {
  it('accepts only the first of two applies on the same version, and reports the new version to the second', () => {
    const first = fold(INITIAL_STATE, applyRecord(0, createText('a')));
    const second = fold(first.state, applyRecord(0, createText('b')));
    expect(first).to.include({ kind: 'accepted', version: 1 });
    expect(second).to.include({ kind: 'lost-race', version: 1 });
    expect(second.state.configurationText).to.equal(createText('a'));
  });

  it('rejects an invalid text as a whole, so that no part takes effect, and names the line', () => {
    const result = fold(INITIAL_STATE, applyRecord(0, `${createText('a')}cold_slots = many\n`));
    expect(result.kind).to.equal('rejected');
    expect(result).to.have.property('reason').that.contains('configuration:2: [service a]');
    expect(result.state.configurationVersion).to.equal(0);
  });

  it('raises the epoch only when the roster changes, so that no needless settlement starts', () => {
    const joined = createStateWithMember();
    const again = fold(joined, { kind: 'member-joined', ...createMember(1, 1) });
    const other = fold(joined, { kind: 'member-left', ...createMember(1, 2) });
    const evicted = fold(joined, {
      kind: 'member-evicted',
      ...createMember(1, 1),
      reason: 'silent',
    });
    expect([joined.epoch, again.state.epoch, other.state.epoch]).to.deep.equal([1, 1, 1]);
    expect([again.kind, other.kind]).to.deep.equal(['ignored', 'ignored']);
    expect(evicted.state).to.deep.include({ epoch: 2, members: [] });
  });

  it('replaces the previous incarnation of a VM, so that no VM is in the roster twice', () => {
    const replaced = fold(createStateWithMember(), {
      kind: 'member-joined',
      ...createMember(1, 2),
    }).state;
    expect(replaced.epoch).to.equal(2);
    expect(replaced.members).to.deep.equal([createMember(1, 2)]);
  });

  it('merges only the newer parts of a stale snapshot, so that no counter decreases', () => {
    const stale = fold(INITIAL_STATE, { kind: 'target-taken-out', target: 'vm:vm1' }).state;
    const current = fold(createStateWithMember(), applyRecord(0, createText('a'))).state;
    const { state } = foldRecord(current, 9, createSnapshot(stale));
    // The join and the accepted configuration each raise the epoch.
    expect(state).to.include({ configurationVersion: 1, epoch: 2, drainRevision: 1 });
    expect(foldRecord(state, 10, createSnapshot(current)).kind).to.equal('ignored');
  });

  it('never throws and never lowers a counter, whatever payload is on the log', () => {
    const record = fc.constantFrom<LogRecord>(
      applyRecord(0, createText('a')),
      { kind: 'target-taken-out', target: 'domain:x' },
      { kind: 'member-joined', ...createMember(2, 1) },
      JSON.parse(createSnapshot(createStateWithMember())) as LogRecord,
    );
    const damaged = fc
      .tuple(record, fc.nat(400), fc.string({ maxLength: 3 }))
      .map(([whole, at, text]) => {
        const json = encodeRecord(whole);
        return json.slice(0, at) + text + json.slice(at + text.length);
      });
    const payload = fc.oneof(
      damaged,
      damaged,
      fc.json(),
      fc.string({ unit: 'binary' }),
      fc.uint8Array(),
      fc.anything({ withBigInt: true, withMap: true, withNullPrototype: true }),
    );
    const start = fold(createStateWithMember(), applyRecord(0, createText('s'))).state;
    fc.assert(
      fc.property(payload, fc.nat(20), (value, offset) => {
        const result = foldRecord(start, offset, value);
        expect(hasHigherCounter(start, result.state)).to.equal(false);
        expect(result.state.nextOffset).to.equal(Math.max(offset + 1, start.nextOffset));
        if (result.kind === 'malformed') expect(result.reason).to.not.equal('');
      }),
      { numRuns: 5000, ...SEED },
    );
  });
});

describe('mergeState', () => {
  it('keeps the newer parts of both states, so that a partitioned member catches up', () => {
    const own = createStateWithMember();
    const peers = fold(INITIAL_STATE, applyRecord(0, createText('a'))).state;
    const merged = mergeState(own, peers);
    expect(merged).to.include({ configurationVersion: 1, epoch: 1 });
    expect(merged.configuration.services[0]!.name).to.equal('a');
    expect(mergeState(merged, own)).to.equal(merged);
  });

  it('decodes an encoded state unchanged and rejects a damaged one', () => {
    const { state } = fold(createStateWithMember(), applyRecord(0, createText('a')));
    expect(describeState(decodeState(encodeState(state)).unwrap())).to.equal(encodeState(state));
    expect(decodeState(encodeState(state).replace('[service a]', '[')).ok).to.equal(false);
    expect(decodeState('nonsense').ok).to.equal(false);
  });
});

describe('configuration-order', () => {
  it('rejects a state that lowers a counter, and reports a version whose content changes', () => {
    const names: string[] = [];
    const recordViolation = (name: string): number => names.push(name);
    const { state } = fold(createStateWithMember(), applyRecord(0, createText('a')));
    expect(advanceState(state, createStateWithMember(), recordViolation)).to.equal(state);
    expect(advanceState(state, { ...state, epoch: 0 }, recordViolation)).to.equal(state);
    const other = { ...state, applyId: 'another' };
    expect(advanceState(state, other, recordViolation)).to.equal(other);
    expect(names).to.deep.equal(Array(3).fill('configuration-order'));
    expect(advanceState(state, { ...state, epoch: 5 }, recordViolation).epoch).to.equal(5);
    expect(names).to.have.length(3);
  });
});
