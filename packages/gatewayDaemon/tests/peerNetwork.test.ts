import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { promisify } from 'node:util';
import { gunzip } from 'node:zlib';

import { SystemClock, sleep } from '@bronzelift/common';
import { DecisionLog, Metrics } from '@bronzelift/observability';
import { expect } from 'chai';

import { NO_POSITION, SEND_INTERVAL_MS } from '../src/constants.js';
import { createPosition } from '../src/storePosition.js';
import { PeerNetwork } from '../src/peerNetwork.js';
import type { PeerNetworkOptions } from '../src/peerNetwork.js';
import { createRecord } from './support/createRecord.js';

const decompress = promisify(gunzip);

const PORT = 20_170;
const DATAGRAM_BYTES = 1_000;
const DATAGRAMS = 100;
const BYTES_PER_INTERVAL = 5_000;

const createNetwork = (
  createState: PeerNetworkOptions['createState'] = () => ({
    operator: undefined,
    instances: undefined,
  }),
): PeerNetwork =>
  PeerNetwork.create({
    host: '127.0.0.1',
    port: PORT,
    log: DecisionLog.create({ clock: SystemClock.create(), sink: async () => {} }),
    metrics: Metrics.create(),
    sendBytesPerInterval: BYTES_PER_INTERVAL,
    onMessage: () => {},
    onPassOn: () => {},
    createRosters: () => [],
    onForward: () => Promise.resolve(),
    createState,
  });

describe('PeerNetwork', () => {
  // Guards against members of an earlier build that keep an old state during an upgrade.
  it('sends members of an earlier build the whole state without offsets', async () => {
    const record = createRecord('x');
    const entry = {
      id: 'x',
      record,
      recordPosition: 3,
      removedPosition: NO_POSITION,
      retainForMs: 0,
    };
    const instances = { nextPosition: 9, digest: 5, entries: [entry] };
    const network = createNetwork(() => ({ operator: undefined, instances }));
    await network.open();
    try {
      const response = await fetch(`http://127.0.0.1:${PORT}/state?revision=4&digest=1&offset=2`);
      expect(await response.json()).to.deep.equal({
        instances: { nextOffset: 9, instances: [record] },
      });
    } finally {
      network.close();
    }
  });

  // Guards against members of an earlier build that take positions for offsets of the store.
  it('sends members of an earlier build offsets without the era of the store', async () => {
    const entry = {
      id: 'x',
      record: createRecord('x'),
      recordPosition: createPosition(2, 3),
      removedPosition: NO_POSITION,
      retainForMs: 0,
    };
    const instances = { nextPosition: createPosition(2, 9), digest: 5, entries: [entry] };
    const network = createNetwork(() => ({ operator: undefined, instances }));
    await network.open();
    try {
      const response = await fetch(`http://127.0.0.1:${PORT}/state/2?revision=4&since=2`);
      const data = await decompress(await response.arrayBuffer());
      const state = JSON.parse(data.toString('utf8'));
      expect(state.instances.nextOffset).to.equal(9);
      expect(state.instances.entries[0].slice(0, 3)).to.deep.equal(['x', 3, NO_POSITION]);
    } finally {
      network.close();
    }
  });

  // Guards against changes that most members miss because a burst to all of them exceeds the link
  // of the reader.
  it('spreads the datagrams of a change over the time that the link needs', async () => {
    const network = createNetwork();
    const receiver = createSocket('udp4');
    let received = 0;
    receiver.on('message', () => {
      received += 1;
    });
    receiver.bind(PORT, '127.0.0.2');
    await once(receiver, 'listening');
    await network.open();
    try {
      const startedAtMs = performance.now();
      const datagrams = Array.from({ length: DATAGRAMS }, () => Buffer.alloc(DATAGRAM_BYTES));
      await network.sendSpread(['127.0.0.2'], datagrams);
      const intervals = (DATAGRAMS * DATAGRAM_BYTES) / BYTES_PER_INTERVAL - 1;
      expect(performance.now() - startedAtMs).to.be.at.least(intervals * SEND_INTERVAL_MS * 0.9);
      await sleep(50);
      expect(received).to.equal(DATAGRAMS);
    } finally {
      network.close();
      receiver.close();
    }
  });
});
