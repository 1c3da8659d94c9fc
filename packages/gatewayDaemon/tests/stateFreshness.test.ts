import { expect } from 'chai';

import { ManualClock } from '@bronzelift/common';
import { DecisionLog } from '@bronzelift/observability';

import { StateFreshness } from '../src/stateFreshness.js';

describe('StateFreshness', () => {
  let clock: ManualClock;
  let written: string;
  let log: DecisionLog;
  let freshness: StateFreshness;

  beforeEach(() => {
    clock = ManualClock.create();
    written = '';
    log = DecisionLog.create({
      clock,
      sink: (text) => {
        written += text;
        return Promise.resolve();
      },
    });
    freshness = StateFreshness.create({ clock, log });
  });

  const readLog = async (): Promise<string> => {
    await log.flushSlice();
    return written;
  };

  // Guards against an incident whose logs do not tell that nobody read the store.
  it('logs a time without a read of any member, but not the usual intervals', async () => {
    freshness.recordRead(clock.monotonicMs(), 'edge-1');
    clock.advance(1_100);
    freshness.recordRead(clock.monotonicMs(), 'edge-2');
    expect(await readLog()).to.equal('');
    clock.advance(3_600);
    expect(freshness.readAgeMs).to.equal(3_600);
    freshness.recordRead(clock.monotonicMs() - 50, 'edge-3');
    expect(await readLog()).to.match(/no member had read the store forMs=3550 toldBy=edge-3/);
    expect(freshness.readAgeMs).to.equal(50);
  });

  // Guards against a held-up process whose logs look like those of one that was not told in time.
  it('remembers for a while that its own timers were late', async () => {
    const dueAtMs = clock.monotonicMs() + 100;
    clock.advance(700);
    freshness.recordTimer(dueAtMs);
    expect(await readLog()).to.match(/process was held up forMs=600/);
    expect(freshness.describe().loopDelayMs).to.equal(600);
    clock.advance(1_000);
    freshness.recordTimer(clock.monotonicMs() - 5);
    expect(freshness.loopDelayMs).to.equal(600);
    clock.advance(3_000);
    expect(freshness.loopDelayMs).to.equal(0);
  });
});
