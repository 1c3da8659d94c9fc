import { expect } from 'chai';
import fc from 'fast-check';

import { createSnapshot, encodeRecord, isNewerInPart } from '../src/index.js';
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

describe('LogFollower on a log that is cut', () => {
  it('ends in the state of a reader of everything, or finds no base; no counter falls', () => {
    let started = 0;
    fc.assert(
      fc.property(fc.array(stepArbitrary, { maxLength: 60, size: 'max' }), (steps) => {
        const log = new ModelLog('one');
        const readers = createReaders();
        let former = readers.map((reader) => reader.follower.state);
        steps.forEach((step) => {
          runStep(log, readers, step);
          readers.forEach(({ follower }, index) => {
            const replaced = step.kind === 'replace' && step.reader === index;
            expect(!replaced && isNewerInPart(former[index]!, follower.state)).to.equal(false);
          });
          former = readers.map((reader) => reader.follower.state);
        });
        const expected = describeState(log.folded);
        [...readers, new ModelReader()].forEach((reader) => {
          const outcome = reader.pump(log, PAGES, 3);
          expect(reader.violations).to.deep.equal([]);
          if (outcome === 'no-base') return;
          if (log.firstOffset > 0) started += 1;
          expect(outcome).to.equal('caught-up');
          expect(describeState(reader.follower.state)).to.equal(expected);
        });
      }),
      { numRuns: 500, ...SEED },
    );
    // Otherwise the property says nothing about snapshots.
    expect(started).to.be.greaterThan(200);
  });

  it('replays what lies between the offset of a stale snapshot and its place on the log', () => {
    const log = new ModelLog('one');
    const stale = new ModelReader();
    appendApply(log, 'first', 0);
    stale.pump(log, PAGES, 1);
    appendApply(log, 'second', 1);
    log.append(stale.follower.createSnapshot());
    log.cutTo(1);
    const fresh = new ModelReader();
    expect(fresh.pump(log, PAGES, 1)).to.equal('caught-up');
    expect(fresh.follower.state).to.include({ configurationVersion: 2, applyId: 'second' });
  });

  it('accepts nothing on an unknown base, and does not start from a snapshot with a gap', () => {
    const log = new ModelLog('one');
    const stale = new ModelReader();
    stale.pump(log, PAGES, 1);
    appendApply(log, 'first', 0);
    appendApply(log, 'second', 1);
    log.append(createSnapshot(stale.follower.foldedState!));
    log.cutTo(1);
    const fresh = new ModelReader();
    expect(fresh.pump(log, PAGES, 1)).to.equal('no-base');
    expect(fresh.follower.state.configurationVersion).to.equal(0);
  });

  it('gives a log without a base one from a member, unless a peer may have read further', () => {
    const log = new ModelLog('one');
    const member = new ModelReader();
    appendApply(log, 'first', 0);
    member.pump(log, PAGES, 1);
    appendApply(log, 'lost', 1);
    log.append('{}');
    log.cutTo(2);
    expect(member.pump(log, PAGES, 1)).to.equal('no-base');
    expect(member.follower.snapshotNeed).to.equal('no-base');
    member.follower.adoptPeerState(member.follower.state);
    expect(member.follower.createSnapshot()).to.equal(undefined);
    member.pump(log, 1, 1);
    member.pump(log, 1, 1);
    log.append(member.follower.createSnapshot());
    const fresh = new ModelReader();
    expect(fresh.pump(log, PAGES, 1)).to.equal('caught-up');
    expect(fresh.follower.state.configurationVersion).to.equal(1);
  });
});

describe('LogFollower and a log service that contradicts itself', () => {
  it('reports a hole or a missing record instead of folding past it', () => {
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

  it('asks for fewer records when responses are large, so that memory stays bounded', () => {
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

  const publishUntilQuiet = (log: ModelLog, readers: readonly ModelReader[]): void => {
    for (let round = 0; round < 5; round += 1) {
      readers.forEach((reader) => {
        reader.pump(log, PAGES, 3);
        if (reader.follower.snapshotNeed === 'lost-records') {
          log.append(reader.follower.createSnapshot());
        }
      });
    }
  };

  const checkAgreement = (readers: readonly ModelReader[], before: readonly ControlState[]) => {
    const states = readers.map((reader) => describeState(reader.follower.state));
    expect(new Set(states).size).to.equal(1);
    before.forEach((state) => {
      expect(isNewerInPart(state, readers[0]!.follower.state)).to.equal(false);
    });
    readers
      .flatMap((reader) => reader.violations)
      .forEach((violation) => expect(violation).to.contain('another configuration at one version'));
  };

  it('keeps what members know when an empty log takes its place, and all agree again', () => {
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
        publishUntilQuiet(log, readers);
        checkAgreement(
          [...readers, new ModelReader()].map((reader) => {
            reader.pump(log, PAGES, 3);
            return reader;
          }),
          before,
        );
      }),
      { numRuns: 500, ...SEED },
    );
  });

  it('notices a log of the same id that ends earlier, and keeps what it knows', () => {
    const log = new ModelLog('one');
    const member = new ModelReader();
    appendApply(log, 'first', 0);
    appendApply(log, 'second', 1);
    member.pump(log, PAGES, 1);
    log.payloads.pop();
    expect(member.pump(log, 1, 1)).to.equal('restarted');
    publishUntilQuiet(log, [member]);
    expect(member.follower.foldedState).to.include({ configurationVersion: 2, applyId: 'second' });
    expect(member.violations).to.deep.equal([]);
  });
});
