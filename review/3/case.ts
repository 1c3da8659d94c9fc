import { ClientConnection } from '../standins/client.js';
import type { Sent } from '../standins/client.js';
import { hasTrouble, runCase } from '../standins/record.js';
import type { CaseRecord } from '../standins/record.js';
import { sleep } from '../standins/traffic.js';
import { World } from '../standins/world.js';

const GRACE_MS = 6_000;
const ROUTE_TIMEOUT_MS = 2_500;
const CLIENT_DEADLINE_MS = 5_000;
/** The longest work of this kind of request on the users' sheet. */
const WORK_MS = 2_450;
/** Times after the SIGTERM at which clients send a request on a kept connection. */
const SENT_AFTER_MS = [0, 1_000, 2_000, 3_050, 3_150, 3_250, 3_350, 3_420];
const STOPPED_GATEWAY = 0;
const UNEXCUSED_AFTER_MS = 3_000;

const isBroken = ({ answer, cutAtMs, lastByteAtMs }: Sent, stoppedAtMs: number): boolean =>
  answer === undefined &&
  cutAtMs !== undefined &&
  lastByteAtMs - stoppedAtMs > UNEXCUSED_AFTER_MS &&
  // Until 1 s after the grace, unless the timeout of the route has passed.
  cutAtMs - stoppedAtMs < GRACE_MS + 1_000 &&
  cutAtMs - lastByteAtMs < ROUTE_TIMEOUT_MS;

const play = async (record: CaseRecord): Promise<boolean> => {
  const world = await World.start({
    gatewayZones: ['a', 'b', 'c', 'd'],
    instances: ['a', 'b', 'c', 'd', 'a', 'b', 'c', 'd'].map((zone) => ({ zone })),
    slots: 4,
    routes: [
      {
        name: 'query',
        path_prefix: '/query/',
        kind: 'safe',
        timeout: `${ROUTE_TIMEOUT_MS}ms`,
        target_latency: '1000ms',
        max_attempts: 1,
      },
    ],
    workMs: (path) => Number(path.split('/')[2]),
    settings: { 'bounds.grace': `${GRACE_MS}ms` },
  });
  try {
    const { gateways } = world;
    const host = gateways.hosts[STOPPED_GATEWAY]!;
    const connections = await Promise.all(
      SENT_AFTER_MS.map(() => ClientConnection.open(host, gateways.frontendPort)),
    );
    const send = (index: number, name: string, workMs: number): Sent =>
      connections[index]!.send({
        requestId: `${name}-${index}`,
        method: 'GET',
        path: `/query/${workMs}`,
        deadlineMs: CLIENT_DEADLINE_MS,
      });
    for (const index of connections.keys()) send(index, 'first', 100);
    await sleep(6_000);
    record.watchLag();
    const stoppedAtMs = performance.now();
    if (hasTrouble) gateways.signal(STOPPED_GATEWAY, 'SIGTERM');
    record.event(hasTrouble ? 'SIGTERM' : 'no SIGTERM');
    const later: Sent[] = [];
    for (const [index, afterMs] of SENT_AFTER_MS.entries()) {
      await sleep(Math.max(stoppedAtMs + afterMs - performance.now(), 0));
      if (connections[index]!.isOpen) later.push(send(index, 'later', WORK_MS));
    }
    await Promise.race([gateways.waitForEnd(STOPPED_GATEWAY), sleep(GRACE_MS)]);
    if (hasTrouble) record.event('the process has ended');
    await sleep(1_500);
    for (const sent of [...connections.flatMap((connection) => connection.sent)]) {
      const broken = isBroken(sent, stoppedAtMs);
      const afterMs = Math.round(sent.lastByteAtMs - stoppedAtMs);
      record.sent(sent, `${broken ? ', CUT' : ''} (${afterMs} ms after the SIGTERM)`);
    }
    for (const run of world.instances.flatMap(({ runs }) => runs)) record.run(run);
    const ran = new Set(world.instances.flatMap(({ runs }) => runs.map((run) => run.requestId)));
    const cut = later.filter((sent) => isBroken(sent, stoppedAtMs) && ran.has(sent.requestId));
    record.event(`${cut.length} of ${later.length} requests were cut while their instance worked`);
    for (const connection of connections) connection.close();
    return cut.length === 0;
  } finally {
    await world.stop();
  }
};

runCase(play);
