import { hasTrouble, runCase } from '../standins/record.js';
import type { CaseRecord } from '../standins/record.js';
import { Traffic, sleep } from '../standins/traffic.js';
import type { TrafficRequest } from '../standins/traffic.js';
import { World } from '../standins/world.js';
import type { RouteFields } from '../standins/world.js';

const CONFIG_BOUND_MS = 2_000;
const STABILITY_WINDOW_MS = 3_000;
const ROUNDS = 7;
const SETTLE_MS = 8_000;
const CUT_MS = 4_000;
const READER_MEMORY_MS = 1_300;
const READERS = 2;
const RECENT_READ_MS = 250;

const createRoutes = (orderService: string): RouteFields[] => {
  const route = { timeout: '800ms', target_latency: '250ms', max_attempts: 2 };
  return [
    { ...route, name: 'lookup', path_prefix: '/lookup/', kind: 'safe', service: 'one' },
    { ...route, name: 'order', path_prefix: '/order/', kind: 'unsafe', service: orderService },
  ];
};

/** Resolves when both readers have read the registrations shortly before, with both. */
const waitForReads = async (world: World): Promise<readonly number[]> => {
  for (;;) {
    const readers = world.listReaders(READER_MEMORY_MS);
    const areRecent = readers.every((index) => world.readAgeMs(index) < RECENT_READ_MS);
    if (readers.length === READERS && areRecent) return readers;
    await sleep(5);
  }
};

const playRound = async (
  record: CaseRecord,
  world: World,
  traffic: Traffic,
  services: { readonly former: string; readonly next: string },
): Promise<readonly TrafficRequest[]> => {
  const readers = await waitForReads(world);
  if (hasTrouble) {
    for (const index of readers) world.setStoreCut(index, true);
    record.event(
      `${readers.map((index) => `gateway ${index}`).join(' and ')} are cut off from the store`,
    );
  }
  await sleep(20);
  const acceptedAtMs = world.publishRoutes(createRoutes(services.next));
  record.event(
    `a version is accepted that moves /order/ from ${services.former} to ${services.next}`,
  );
  await sleep(CUT_MS);
  for (const index of readers) world.setStoreCut(index, false);
  const formerRuns = new Set(
    world
      .listInstances(services.former)
      .flatMap(({ runs }) => runs.map(({ requestId }) => requestId)),
  );
  const late = traffic.requests.filter(
    ({ sent, gateway }) =>
      !readers.includes(gateway) &&
      sent.lastByteAtMs > acceptedAtMs + CONFIG_BOUND_MS &&
      formerRuns.has(sent.requestId),
  );
  const lastMs = Math.max(
    0,
    ...traffic.requests
      .filter(({ sent, gateway }) => !readers.includes(gateway) && formerRuns.has(sent.requestId))
      .map(({ sent }) => sent.lastByteAtMs - acceptedAtMs),
  );
  record.event(
    `${late.length} orders sent later than the bound to other gateways ran at the former service; the last one was sent after ${Math.round(lastMs)} ms`,
  );
  return late;
};

const play = async (record: CaseRecord): Promise<boolean> => {
  const zones = ['a', 'b', 'c', 'd', 'a', 'b', 'c', 'd'];
  const world = await World.start({
    gatewayZones: ['a', 'a', 'a', 'a', 'a', 'b', 'b', 'b', 'c', 'c', 'c', 'd', 'd', 'd'],
    instances: zones.map((zone, index) => ({ zone, service: index < 4 ? 'one' : 'two' })),
    slots: 4,
    routes: createRoutes('one'),
    workMs: () => 30,
  });
  try {
    const traffic = Traffic.start({
      gateways: world.gateways,
      connections: [...world.gateways.hosts.keys()],
      pauseMs: 60,
      createRequest: (requestId) => ({
        requestId,
        method: 'POST',
        path: `/order/${requestId}`,
        body: 'one coat',
        deadlineMs: 800,
      }),
    });
    await sleep(SETTLE_MS);
    record.watchLag();
    const late: TrafficRequest[] = [];
    for (let round = 0; round < ROUNDS && late.length === 0; round += 1) {
      const services =
        round % 2 === 0 ? { former: 'one', next: 'two' } : { former: 'two', next: 'one' };
      late.push(...(await playRound(record, world, traffic, services)));
      await sleep(STABILITY_WINDOW_MS + 500);
    }
    await traffic.stop();
    for (const request of traffic.requests) {
      const note = late.includes(request) ? ', LATE' : '';
      record.sent(request.sent, `, gateway ${request.gateway}${note}`);
    }
    for (const run of world.instances.flatMap(({ runs }) => runs)) record.run(run);
    return late.length === 0;
  } finally {
    await world.stop();
  }
};

runCase(play);
