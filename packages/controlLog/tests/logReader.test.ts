import { expect } from 'chai';

import { ManualClock, SeededRandom, SystemClock, sleep } from '@bronzelift/common';

import { LogClient, LogReader, encodeRecord } from '../src/index.js';
import type { ControlState, LogReaderEvent, LogReaderOptions } from '../src/index.js';
import { SnapshotSchedule } from '../src/snapshotSchedule.js';
import { ModelLog, createText } from './logModel.js';
import { LogServer } from './logServer.js';

const RETENTION_MS = 60_000;
const WAIT_LIMIT_MS = 10_000;

const waitFor = async (description: string, isTrue: () => boolean): Promise<void> => {
  const endsAtMs = Date.now() + WAIT_LIMIT_MS;
  while (!isTrue()) {
    if (Date.now() > endsAtMs) throw new Error(`waited ${WAIT_LIMIT_MS} ms for ${description}`);
    await sleep(5);
  }
};

const createApply = (basedOnVersion: number): string =>
  encodeRecord({
    kind: 'configuration-applied',
    applyId: `on${basedOnVersion}`,
    basedOnVersion,
    text: createText('a'),
  });

describe('LogClient and LogReader', () => {
  let server: LogServer;
  let client: LogClient;
  const readers: LogReader[] = [];

  beforeEach(async () => {
    server = await LogServer.start();
    client = LogClient.create({
      endpoint: server.endpoint,
      clientId: 'test',
      clock: SystemClock.create(),
    });
  });

  afterEach(async () => {
    await Promise.all(readers.splice(0).map((reader) => reader.stop()));
    client.close();
    await server.stop();
  });

  const startReader = (options: Partial<LogReaderOptions> = {}) => {
    const states: ControlState[] = [];
    const events: LogReaderEvent[] = [];
    const reader = LogReader.create({
      client,
      clock: SystemClock.create(),
      random: SeededRandom.create(1),
      readWaitMs: 200,
      retentionMs: RETENTION_MS,
      onState: (state) => states.push(state),
      onViolation: (name, detail) => {
        throw new Error(`${name}: ${detail}`);
      },
      onEvent: (event) => events.push(event),
      ...options,
    });
    readers.push(reader);
    reader.start();
    return { reader, states, events };
  };

  it('does not report an append as refused when the record may be on the log', async () => {
    expect((await client.append(createApply(0))).unwrap()).to.equal(0);
    server.mode = 'lose-response';
    const lost = await client.append(createApply(1));
    expect(lost.err && lost.val.kind).to.equal('unknown');
    expect(server.log.payloads).to.have.length(2);
    server.mode = 'truncate';
    const truncated = await client.append(createApply(2));
    expect(truncated.err && truncated.val.kind).to.equal('unknown');
    await server.stop();
    const refused = await client.append(createApply(3));
    expect(refused.err && refused.val.kind).to.equal('refused');
    expect(refused.err && refused.val.error.message).to.contain('append log record (127.0.0.1:');
  });

  it('times out on a connection that stops responding, and succeeds on a new connection', async () => {
    expect((await client.read(0, 10, 0)).ok).to.equal(true);
    server.mode = 'silent';
    const failed = await client.read(0, 10, 0);
    expect(failed.err && failed.val.error.message).to.contain('no response for 1000 ms');
    server.mode = 'normal';
    expect((await client.read(0, 10, 0)).ok).to.equal(true);
  });

  it('reads a new record at once and keeps its state during an outage of the log', async () => {
    const { reader, states, events } = startReader();
    await waitFor('the first read', () => reader.lastReadStartedAtMs !== undefined);
    await client.append(createApply(0));
    await waitFor('version 1', () => reader.state.configurationVersion === 1);
    server.mode = 'status-503';
    await waitFor('a failed read', () => events.some((event) => event.kind === 'read-failed'));
    const lastReadMs = reader.lastReadStartedAtMs;
    expect(reader.state.configurationVersion).to.equal(1);
    server.mode = 'normal';
    await waitFor('a read after the outage', () => reader.lastReadStartedAtMs !== lastReadMs);
    expect(states.map((state) => state.configurationVersion)).to.deep.equal([0, 1]);
  });

  it('backs off when the log service fails, so that retries do not overload it', async () => {
    server.mode = 'status-503';
    startReader();
    await sleep(1500);
    expect(server.requests).to.be.lessThan(15);
  });

  it('publishes its state to a replaced log, so that new members can start', async () => {
    const { reader, events } = startReader();
    await client.append(createApply(0));
    await waitFor('version 1', () => reader.state.configurationVersion === 1);
    server.log = new ModelLog('replaced');
    await waitFor('a snapshot', () => events.some((e) => e.kind === 'snapshot-published'));
    const fresh = startReader();
    await waitFor('the new member', () => fresh.reader.state.configurationVersion === 1);
    expect(fresh.reader.state.logId).to.equal('replaced');
    expect(reader.state.configurationVersion).to.equal(1);
  });
});

describe('SnapshotSchedule', () => {
  const create = (seed: number) => {
    const clock = ManualClock.create();
    const random = SeededRandom.create(seed);
    return {
      clock,
      schedule: SnapshotSchedule.create({ clock, random, retentionMs: RETENTION_MS }),
    };
  };

  it('is due within a quarter of the retention, so that the last snapshot never expires', () => {
    for (let seed = 0; seed < 100; seed += 1) {
      const { clock, schedule } = create(seed);
      expect(schedule.isDue(undefined)).to.equal(false);
      clock.advance(RETENTION_MS / 8 - 1);
      expect(schedule.isDue(undefined)).to.equal(false);
      clock.advance(RETENTION_MS / 8);
      expect(schedule.isDue(undefined)).to.equal(true);
    }
  });

  it('restarts its delay when another member publishes, so that the members do not all publish', () => {
    const { clock, schedule } = create(1);
    schedule.isDue(undefined);
    clock.advance(RETENTION_MS / 4);
    schedule.recordSnapshot(0);
    expect(schedule.isDue(undefined)).to.equal(false);
  });

  it('is due within 250 ms if the log lost records or the last snapshot is old', () => {
    const { clock, schedule } = create(1);
    expect(schedule.isDue('lost-records')).to.equal(false);
    clock.advance(250);
    expect(schedule.isDue('lost-records')).to.equal(true);
    schedule.recordSnapshot(RETENTION_MS);
    clock.advance(250);
    expect(schedule.isDue('lost-records')).to.equal(true);
  });
});
