import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { createServer } from 'node:net';

import { sleep } from '@bronzelift/common';
import { Phase } from '@bronzelift/protocol';
import { expect } from 'chai';

import { HeartbeatNode } from './heartbeatNode.js';

const waitUntil = async (isReached: () => boolean): Promise<void> => {
  for (let waitedMs = 0; waitedMs < 10_000 && !isReached(); waitedMs += 10) await sleep(10);
  expect(isReached()).to.equal(true);
};

describe('HeartbeatService', () => {
  const nodes: HeartbeatNode[] = [];
  const start = async (vmId: string, incarnation: string, port = 0): Promise<HeartbeatNode> => {
    const node = await HeartbeatNode.start(vmId, incarnation, port);
    nodes.push(node);
    return node;
  };

  afterEach(async () => {
    await Promise.all(nodes.splice(0).map(async (node) => node.stop()));
  });

  // Guards against missing lease grants, and grants to a member with an older epoch.
  it('grants leases, except to a member with an older epoch', async () => {
    const [one, two] = [await start('vm1', 'a'), await start('vm2', 'b')];
    [one, two].forEach((node) => node.heartbeats.setPeers([one.member, two.member]));
    await waitUntil(() => one.granted > 0 && two.granted > 0);
    two.epoch = 2;
    two.heartbeats.sendNow();
    await waitUntil(() => one.events.includes('fetched state of vm2 at 2'));
    expect(two.events).to.include('behind vm1');
    const { granted } = one;
    const { responses } = one;
    one.heartbeats.sendNow();
    await waitUntil(() => one.responses > responses);
    expect(one.granted).to.equal(granted);
  });

  // Guards against urgent heartbeats at shorter intervals than the minimum.
  it('sends urgent heartbeats no faster than the minimum interval allows', async () => {
    const [one, two] = [await start('vm1', 'a'), await start('vm2', 'b')];
    one.heartbeats.setPeers([two.member]);
    await waitUntil(() => one.responses > 0);
    const { responses } = one;
    for (let call = 0; call < 40; call++) {
      one.heartbeats.sendNow();
      await sleep(5);
    }
    // 40 calls within 200 ms or more; the lower bound verifies that urgent heartbeats are sent.
    expect(one.responses - responses).to.be.within(2, 20);
  });

  // Guards against a departure, a restart or a dead process that is not detected.
  it('detects the departure, the restart and the dead process of a peer', async () => {
    const [one, two] = [await start('vm1', 'a'), await start('vm2', 'b')];
    [one, two].forEach((node) => node.heartbeats.setPeers([one.member, two.member]));
    await waitUntil(() => one.granted > 0 && two.granted > 0);
    two.phase = Phase.STOPPED;
    await two.heartbeats.announce(2000);
    expect(one.events).to.include('gone vm2@b stopped');
    one.heartbeats.setPeers([{ ...two.member, incarnation: 'older' }]);
    await waitUntil(() => one.events.includes('gone vm2@older replaced'));
    const { port } = two.member.peerEndpoint;
    await two.stop();
    one.heartbeats.setPeers([two.withPeerPort(port)]);
    await waitUntil(() => one.events.includes('gone vm2@b refused'));
  });

  // Guards against treating a peer as gone because datagrams are lost.
  it('does not treat a peer as gone when datagrams are lost', async () => {
    const [one, two] = [await start('vm1', 'a'), await start('vm2', 'b')];
    let isDropping = false;
    const relay = createSocket('udp4');
    const senders = new Map<string, number>();
    relay.on('message', (data, { port }) => {
      if (isDropping) return;
      const isFromPeer = port === two.member.peerEndpoint.port;
      if (!isFromPeer) senders.set('one', port);
      relay.send(
        data,
        isFromPeer ? senders.get('one')! : two.member.peerEndpoint.port,
        '127.0.0.1',
      );
    });
    relay.bind(0, '127.0.0.1');
    await once(relay, 'listening');
    // Accepts TCP connections on the port of the relay, as the peer does on its own port.
    const listener = createServer().listen(relay.address().port, '127.0.0.1');
    await once(listener, 'listening');
    one.heartbeats.setPeers([two.withPeerPort(relay.address().port)]);
    await waitUntil(() => one.responses > 0);
    isDropping = true;
    await waitUntil(() => one.events.includes('error vm2'));
    isDropping = false;
    const { responses } = one;
    await waitUntil(() => one.responses > responses);
    expect(one.events.filter((event) => event.startsWith('gone'))).to.deep.equal([]);
    relay.close();
    listener.close();
  });
});
