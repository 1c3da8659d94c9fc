import { expect } from 'chai';

import { ManualClock } from '@bronzelift/common';

import { DecisionLog, LogComponent } from '../src/index.js';

const createLog = (maxBufferedLines?: number) => {
  const written: string[] = [];
  const log = DecisionLog.create({
    clock: ManualClock.create(0),
    sink: async (text) => {
      written.push(text);
    },
    ...(maxBufferedLines === undefined ? {} : { maxBufferedLines }),
  });
  return { log, written };
};

describe('DecisionLog', () => {
  it('writes all lines of a burst in order, including identical lines', async () => {
    const { log, written } = createLog();
    for (let n = 0; n < 1200; n++) log.info(LogComponent.route, 'chose instance', { n: n % 3 });
    expect(written).to.deep.equal([]);
    await log.close();
    const lines = written.join('').trimEnd().split('\n');
    expect(lines).to.have.length(1200);
    expect(lines[4]).to.equal('1970-01-01T00:00:00.000Z [route] chose instance n=1');
  });

  it('drops and counts lines when the buffer is full, so that memory stays bounded', async () => {
    const { log, written } = createLog(10);
    for (let n = 0; n < 25; n++) log.warn(LogComponent.admit, 'refused', { n });
    expect(log.counts()).to.deep.equal({ written: 0, dropped: 15, buffered: 10 });
    await log.close();
    expect(written.join('')).to.contain('lines dropped count=15');
    expect(log.counts()).to.deep.equal({ written: 10, dropped: 15, buffered: 0 });
  });

  it('quotes values, so that text sent by a caller cannot forge a line or a field', async () => {
    const { log, written } = createLog();
    log.error(LogComponent.backend, 'failed', { detail: 'a\nb c="d"', gone: undefined });
    await log.close();
    expect(written).to.deep.equal([
      '1970-01-01T00:00:00.000Z ERROR [backend] failed detail="a\\nb c=\\"d\\""\n',
    ]);
  });

  it('closes in bounded time when the sink never accepts a write', async () => {
    const log = DecisionLog.create({
      clock: ManualClock.create(),
      sink: () => new Promise(() => {}),
      flushIntervalMs: 1,
    });
    log.start();
    log.info(LogComponent.daemon, 'first');
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
    log.info(LogComponent.daemon, 'second');
    expect(log.counts().buffered).to.equal(1);
    await log.close(5);
  });
});
