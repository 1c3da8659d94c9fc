import { expect } from 'chai';
import fc from 'fast-check';

import { createSnapshot, encodeRecord, hasHigherCounter } from '../src/index.js';
import type { ControlState } from '../src/index.js';
import {
  ModelLog,
  ModelReader,
  SEED,
  createText,
  describeState,
  runStep,
  stepArbitrary,
} from './logModel.js';

const PAGES = 1000;

const appendApply = (log: ModelLog, applyId: string, basedOnVersion: number): void =>
  log.append(
    encodeRecord({ kind: 'configuration-applied', applyId, basedOnVersion, text: createText('a') }),
  );

const createReaders = (): ModelReader[] => [
  new ModelReader(),
  new ModelReader(),
  new ModelReader(),
];

describe('LogFollower on a log whose first records expire', () => {
  // Guards against readers that start from a snapshot and miss expired records, and against counters
  // that decrease.
  it('reaches the same state as a reader of all records, unless the log contains no base', () => {
    let started = 0;
    fc.assert(
      fc.property(fc.array(stepArbitrary, { maxLength: 60, size: 'max' }), (steps) => {
        const log = new ModelLog('one');
        const readers = createReaders();
        let previous = readers.map((reader) => reader.follower.state);
        steps.forEach((step) => {
          runStep(log, readers, step);
          readers.forEach(({ follower }, index) => {
            const replaced = step.kind === 'replace' && step.reader === index;
            expect(!replaced && hasHigherCounter(previous[index]!, follower.state)).to.equal(false);
          });
          previous = readers.map((reader) => reader.follower.state);
        });
        const expected = describeState(log.folded);
        [...readers, new ModelReader()].forEach((reader) => {
          const outcome = reader.readPages(log, PAGES, 3);
          expect(reader.violations).to.deep.equal([]);
          if (outcome === 'no-base') return;
          if (log.firstOffset > 0) started += 1;
          expect(outcome).to.equal('caught-up');
          expect(describeState(reader.follower.state)).to.equal(expected);
        });
      }),
      { numRuns: 500, ...SEED },
    );
    // Fewer starts from a snapshot would leave the property untested for snapshots.
    expect(started).to.be.greaterThan(200);
  });

  it('folds the records between asOfOffset of a stale snapshot and the snapshot record', () => {
    const log = new ModelLog('one');
    const stale = new ModelReader();
    appendApply(log, 'first', 0);
    stale.readPages(log, PAGES, 1);
    appendApply(log, 'second', 1);
    log.append(stale.follower.createSnapshot());
    log.expireBefore(1);
    const fresh = new ModelReader();
    expect(fresh.readPages(log, PAGES, 1)).to.equal('caught-up');
    expect(fresh.follower.state).to.include({ configurationVersion: 2, applyId: 'second' });
  });

  it('does not start from a snapshot when records after its asOfOffset have expired', () => {
    const log = new ModelLog('one');
    const stale = new ModelReader();
    stale.readPages(log, PAGES, 1);
    appendApply(log, 'first', 0);
    appendApply(log, 'second', 1);
    log.append(createSnapshot(stale.follower.foldedState!));
    log.expireBefore(1);
    const fresh = new ModelReader();
    expect(fresh.readPages(log, PAGES, 1)).to.equal('no-base');
    expect(fresh.follower.state.configurationVersion).to.equal(0);
  });

  it('publishes no base while a merged peer state may include unread records', () => {
    const log = new ModelLog('one');
    const member = new ModelReader();
    appendApply(log, 'first', 0);
    member.readPages(log, PAGES, 1);
    appendApply(log, 'lost', 1);
    log.append('{}');
    log.expireBefore(2);
    expect(member.readPages(log, PAGES, 1)).to.equal('no-base');
    expect(member.follower.earlySnapshotReason).to.equal('no-base');
    member.follower.adoptPeerState(member.follower.state);
    expect(member.follower.createSnapshot()).to.equal(undefined);
    member.readPages(log, 1, 1);
    member.readPages(log, 1, 1);
    log.append(member.follower.createSnapshot());
    const fresh = new ModelReader();
    expect(fresh.readPages(log, PAGES, 1)).to.equal('caught-up');
    expect(fresh.follower.state.configurationVersion).to.equal(1);
  });
});

describe('LogFollower and inconsistent pages', () => {
  it('rejects a page with missing records as malformed, and folds none of its records', () => {
    const log = new ModelLog('one');
    ['first', 'second', 'third'].forEach((id, version) => appendApply(log, id, version));
    const { follower } = new ModelReader();
    const whole = log.read(0, 10);
    expect(follower.acceptPage({ ...whole, records: [] })).to.equal('malformed');
    const hole = whole.records.filter((record) => record.offset !== 1);
    expect(follower.acceptPage({ ...whole, records: hole })).to.equal('malformed');
    expect(follower.state.configurationVersion).to.equal(0);
    expect(follower.acceptPage(log.read(follower.nextRead.from, 10))).to.equal('behind');
    expect(follower.acceptPage(whole)).to.equal('caught-up');
    expect(follower.state.configurationVersion).to.equal(3);
  });

  it('requests fewer records when responses are large, so that memory stays bounded', () => {
    const { follower } = new ModelReader();
    const first = follower.nextRead.limit;
    const page = { ...new ModelLog('one').read(0, 1), sizeBytes: 9 * 1024 * 1024 };
    for (let round = 0; round < 20; round += 1) follower.acceptPage(page);
    expect(follower.nextRead.limit).to.equal(1);
    follower.acceptPage({ ...page, sizeBytes: 10 });
    expect(follower.nextRead.limit).to.equal(2).and.to.be.lessThan(first);
  });
});

describe('LogFollower on a log that loses records', () => {
  const steps = fc.array(stepArbitrary, { maxLength: 25, size: 'max' });

  const publishUntilNoneDue = (log: ModelLog, readers: readonly ModelReader[]): void => {
    for (let round = 0; round < 5; round += 1) {
      readers.forEach((reader) => {
        reader.readPages(log, PAGES, 3);
        if (reader.follower.earlySnapshotReason === 'lost-records') {
          log.append(reader.follower.createSnapshot());
        }
      });
    }
  };

  const checkAgreement = (readers: readonly ModelReader[], before: readonly ControlState[]) => {
    const states = readers.map((reader) => describeState(reader.follower.state));
    expect(new Set(states).size).to.equal(1);
    before.forEach((state) => {
      expect(hasHigherCounter(state, readers[0]!.follower.state)).to.equal(false);
    });
    readers
      .flatMap((reader) => reader.violations)
      .forEach((violation) =>
        expect(violation).to.contain('two configurations have the same version'),
      );
  };

  it('restores the state of the members on an empty replacement log, and all readers agree', () => {
    fc.assert(
      fc.property(steps, steps, (first, second) => {
        const lost = new ModelLog('lost');
        const readers = createReaders();
        first.filter((step) => step.kind !== 'replace').forEach((s) => runStep(lost, readers, s));
        const before = readers.map((reader) => reader.follower.state);
        const log = new ModelLog('new');
        second
          .filter((step) => step.kind !== 'replace' && step.kind !== 'cut')
          .forEach((step) => runStep(log, readers, step));
        publishUntilNoneDue(log, readers);
        checkAgreement(
          [...readers, new ModelReader()].map((reader) => {
            reader.readPages(log, PAGES, 3);
            return reader;
          }),
          before,
        );
      }),
      { numRuns: 500, ...SEED },
    );
  });

  it('detects a log with the same id that ends earlier, and publishes the lost state', () => {
    const log = new ModelLog('one');
    const member = new ModelReader();
    appendApply(log, 'first', 0);
    appendApply(log, 'second', 1);
    member.readPages(log, PAGES, 1);
    log.payloads.pop();
    expect(member.readPages(log, 1, 1)).to.equal('restarted');
    publishUntilNoneDue(log, [member]);
    expect(member.follower.foldedState).to.include({ configurationVersion: 2, applyId: 'second' });
    expect(member.violations).to.deep.equal([]);
  });
});
