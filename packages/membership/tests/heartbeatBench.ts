// Measures the cost of heartbeats for one node with 17 peers (--peers). Run in two shells:
//   npx tsx packages/membership/tests/heartbeatBench.ts peers 21400
//   npx tsx packages/membership/tests/heartbeatBench.ts node 21400
import { sleep } from '@bronzelift/common';
import { Command, Option, runExit } from 'clipanion';

import { HeartbeatNode } from './heartbeatNode.js';

const SERVICES = 4;
const MEASURE_MS = 20_000;
const WARMUP_MS = 3000;
const MICROS_PER_MS = 1000;

const startNode = async (index: number, port: number): Promise<HeartbeatNode> =>
  HeartbeatNode.start(`vm${index}`, 'a', port + index, SERVICES);

const sumBytes = (node: HeartbeatNode): number =>
  node.socket.traffic.sentBytes + node.socket.traffic.receivedBytes;

const peerAt = (node: HeartbeatNode, index: number, port: number): HeartbeatNode['member'] => ({
  ...node.member,
  vmId: `vm${index}`,
  peerEndpoint: { host: '127.0.0.1', port: port + index },
});

class Bench extends Command {
  private readonly role = Option.String();

  private readonly port = Option.String();

  private readonly peerCount = Option.String('--peers', '17');

  async execute(): Promise<void> {
    const port = Number(this.port);
    if (this.role === 'peers') await this.runPeers(port);
    else await this.runNode(port);
  }

  /** Runs peers that send heartbeats only to the node, for longer than one measurement takes. */
  private async runPeers(port: number): Promise<void> {
    const peers: HeartbeatNode[] = [];
    for (let index = 1; index <= Number(this.peerCount); index++) {
      const peer = await startNode(index, port);
      peer.heartbeats.setPeers([peerAt(peer, 0, port)]);
      peers.push(peer);
    }
    this.context.stdout.write('peers are running\n');
    await sleep(MEASURE_MS + 5 * WARMUP_MS);
    await Promise.all(peers.map(async (peer) => peer.stop()));
  }

  private async runNode(port: number): Promise<void> {
    const node = await startNode(0, port);
    const peers = Array.from({ length: Number(this.peerCount) }, (_, index) =>
      peerAt(node, index + 1, port),
    );
    node.heartbeats.setPeers(peers);
    await sleep(WARMUP_MS);
    const before = { cpu: process.cpuUsage(), responses: node.responses, bytes: sumBytes(node) };
    await sleep(MEASURE_MS);
    const cpu = process.cpuUsage(before.cpu);
    const cpuMicros = cpu.user + cpu.system;
    const sent = node.responses - before.responses;
    const bytes = sumBytes(node) - before.bytes;
    const bytesPerS = (bytes * MICROS_PER_MS) / MEASURE_MS;
    this.context.stdout.write(
      `sent and answered: ${sent} in ${MEASURE_MS} ms, about as many received\n` +
        `CPU: ${(cpuMicros / (MEASURE_MS * MICROS_PER_MS * 0.01)).toFixed(2)}% of a core, ` +
        `${(cpuMicros / sent).toFixed(0)} us for one sent and one received\n` +
        `bytes: ${(bytes / sent).toFixed(0)} for one heartbeat sent and one answered, ` +
        `${(bytesPerS / 1000).toFixed(1)} KB/s for both directions, without UDP and IP headers\n` +
        `memory: ${(process.memoryUsage().rss / 1e6).toFixed(0)} MB\n`,
    );
    await node.stop();
  }
}

await runExit(Bench, process.argv.slice(2));
