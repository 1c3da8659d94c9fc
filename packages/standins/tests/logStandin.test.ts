import type { Endpoint } from '@bronzelift/common';
import { expect } from 'chai';
import fc from 'fast-check';

import { LogStandin } from '../src/index.js';
import type { LogReadResponse } from '../src/index.js';
import { LogStore } from '../src/logStore.js';
import { catchErrorCode, isPendingAfter, post, send } from './client.js';

const PROPERTY_OPTIONS = process.env.SEED ? { seed: Number(process.env.SEED) } : {};

describe('LogStore', () => {
  // Guards against gaps that the store itself causes: a gap must always be a fault of the reader.
  it('returns contiguous offsets within the append and retention limits', () => {
    fc.assert(
      fc.property(
        fc.array(fc.nat({ max: 400 }), { maxLength: 60 }),
        fc.nat({ max: 10 }),
        fc.nat({ max: 1000 }),
        fc.integer({ min: 1, max: 5 }),
        (pauses, retentionRecords, retentionMs, appendsPerSecond) => {
          const store = LogStore.create({ appendsPerSecond, retentionMs, retentionRecords }, 7);
          const accepted: number[] = [];
          let nowMs = 0;
          pauses.forEach((pauseMs, index) => {
            nowMs += pauseMs;
            if (store.append(index, nowMs)) accepted.push(nowMs);
          });
          const { firstOffset, endOffset, records } = store.read(0, 1000, nowMs);
          expect(endOffset).to.equal(7 + accepted.length);
          expect(records.map(({ offset }) => offset)).to.deep.equal(
            Array.from({ length: endOffset - firstOffset }, (_, index) => firstOffset + index),
          );
          expect(records.length).to.be.at.most(retentionRecords);
          records.forEach((record) =>
            expect(record.appendedAtMs).to.be.at.least(nowMs - retentionMs),
          );
          accepted.forEach((atMs) => {
            const inWindow = accepted.filter((other) => other > atMs - 1000 && other <= atMs);
            expect(inWindow.length).to.be.at.most(appendsPerSecond);
          });
        },
      ),
      PROPERTY_OPTIONS,
    );
  });
});

describe('LogStandin', () => {
  let log: LogStandin;
  let endpoint: Endpoint;

  const append = (payload: unknown, clientId = 'c1') =>
    post(endpoint, '/v1/records', { payload }, { 'x-client-id': clientId });

  const read = async (query: string): Promise<LogReadResponse> =>
    JSON.parse((await send(endpoint, `/v1/records?${query}`)).body) as LogReadResponse;

  beforeEach(async () => {
    log = LogStandin.create();
    endpoint = await log.listen(0);
  });

  afterEach(() => log.close());

  // Guards against a stand-in that forces readers to poll for new records.
  it('ends a long-poll read with the appended record', async () => {
    const waiting = read('from=0&waitMs=10000');
    expect(await isPendingAfter(waiting, 50)).to.equal(true);
    expect((await append({ kind: 'x' })).status).to.equal(201);
    const { records, endOffset, firstOffset } = await waiting;
    expect(records.map(({ payload }) => payload)).to.deep.equal([{ kind: 'x' }]);
    expect([firstOffset, endOffset]).to.deep.equal([0, 1]);
  });

  // Guards against a stand-in that drops such a record: clients must detect that it was appended.
  it('keeps the record when the append response is lost', async () => {
    log.apply({ kind: 'lose-append-responses', count: 1 });
    expect(await catchErrorCode(append('a'))).to.equal('ECONNRESET');
    expect((await append('b')).status).to.equal(201);
    expect((await read('from=0')).records.map(({ payload }) => payload)).to.deep.equal(['a', 'b']);
  });

  // Guards against a pending read that hides the restart from its reader.
  it('responds at once to readers past the end of the log after a restart', async () => {
    await append('a');
    await append('b');
    const { logId } = await read('from=2');
    const waiting = read('from=2&waitMs=10000');
    expect(await isPendingAfter(waiting, 50)).to.equal(true);
    log.apply({ kind: 'restart', endOffset: 1 });
    const restarted = await waiting;
    expect(restarted.logId).to.not.equal(logId);
    expect([restarted.firstOffset, restarted.endOffset]).to.deep.equal([1, 1]);
    expect((await read('from=2&waitMs=10000')).endOffset).to.equal(1);
  });

  it('refuses or hangs requests during an outage, and refuses reads that were already waiting', async () => {
    const waiting = send(endpoint, '/v1/records?from=0&waitMs=10000');
    expect(await isPendingAfter(waiting, 50)).to.equal(true);
    await post(endpoint, '/standin/v1/behavior', { kind: 'outage' });
    expect((await waiting).status).to.equal(503);
    expect((await append('a')).status).to.equal(503);
    log.apply({ kind: 'outage', mode: 'hang', durationMs: 200 });
    const hanging = append('b');
    hanging.catch(() => undefined);
    expect(await isPendingAfter(hanging, 300)).to.equal(true);
    expect((await append('c')).status).to.equal(201);
    expect(log.report()).to.include({ appends: 1, unavailableRequests: 3 });
  });

  // Guards against a simulated network partition that affects other clients, too.
  it('rejects requests of blocked clients only', async () => {
    log.apply({ kind: 'block', clientIds: ['c1'], mode: 'refuse' });
    expect((await append('a', 'c1')).status).to.equal(503);
    expect((await append('a', 'c2')).status).to.equal(201);
    log.apply({ kind: 'unblock' });
    expect((await append('a', 'c1')).status).to.equal(201);
  });

  it('refuses appends above the limit and behaviors with unknown fields', async () => {
    log.apply({ kind: 'append-limit', perSecond: 1 });
    const statuses = [await append('a'), await append('b')].map(({ status }) => status);
    expect(statuses).to.deep.equal([201, 429]);
    const invalid = await post(endpoint, '/standin/v1/behavior', { kind: 'outage', mod: 'hang' });
    expect(invalid.status).to.equal(400);
  });
});
