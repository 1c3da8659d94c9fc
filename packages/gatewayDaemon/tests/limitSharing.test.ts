import { expect } from 'chai';

import { BufferBudget, bronzeliftDialect } from '@bronzelift/backend-client';
import { ManualClock, SeededRandom } from '@bronzelift/common';
import { DecisionLog, Metrics } from '@bronzelift/observability';

import { HEARTBEAT_INTERVAL_MS, MEMBER_REMOVAL_MS } from '../src/constants.js';
import type { InstanceRuntime } from '../src/instanceRuntime.js';
import { MemberTable } from '../src/memberTable.js';
import type { MemberStatus } from '../src/memberTable.js';
import { ServiceRuntime } from '../src/serviceRuntime.js';
import { createRecord } from './support/createRecord.js';

const DOMAINS = ['a', 'b', 'c', 'd'];
const WINDOW_MS = 4_000;
const STEP_MS = 50;

interface SimulatedMember {
  readonly status: MemberStatus;
  readonly table: MemberTable;
  readonly service: ServiceRuntime;
  readonly instance: InstanceRuntime;
}

const createMember = (clock: ManualClock, index: number, maxRequestsPerS: number) => {
  const status: MemberStatus = {
    vmId: `vm-${index}`,
    incarnation: 'first',
    failureDomainId: DOMAINS[index % DOMAINS.length]!,
    callerEndpoint: { host: `10.0.0.${index}`, port: 80 },
    phase: 'ready',
    isStoreFailing: false,
    isReader: false,
    storeReadAgeMs: 100,
    operatorRevision: 1,
    configurationVersion: 1,
    instancePosition: 1,
    instanceDigest: 1,
    quarantineDigest: 1,
    isCutOff: false,
    unreachedServices: [],
  };
  const random = SeededRandom.create(index);
  const table = MemberTable.create({
    clock,
    random,
    regionOfDomain: new Map(),
    own: () => status,
  });
  const service = ServiceRuntime.create('fitting', undefined, {
    clock,
    random,
    log: DecisionLog.create({ clock, sink: () => Promise.resolve() }),
    metrics: Metrics.create(),
    dialect: bronzeliftDialect,
    bufferBudget: BufferBudget.create(1_000_000),
    bounds: {
      retryRatio: 0.2,
      retrySlack: 58,
      stopGraceMs: 6_000,
      maxAddressTtlMs: 5_000,
      probesPerS: 60,
      toleratedVmLosses: 2,
    },
    countSharers: () => table.countSharers(),
    countInstanceSharers: ({ id, failureDomainId }, maxSharers) =>
      table.countInstanceSharers(id, failureDomainId, maxSharers),
    onViolation: () => {},
    onResponse: () => {},
    onReachabilityChange: () => {},
    onLimitChange: () => {},
  });
  service.setInstance(createRecord('i-1'));
  const instance = service.find('i-1')!;
  instance.mergeLimit({ version: 1, maxRequestsPerS });
  return { status, table, service, instance };
};

const countMostInWindow = (timesMs: readonly number[]): number => {
  let most = 0;
  let first = 0;
  timesMs.forEach((timeMs, index) => {
    while (timesMs[first]! <= timeMs - WINDOW_MS) first += 1;
    most = Math.max(most, index - first + 1);
  });
  return most;
};

/** Lets members send as much as an instance's limit allows, and records the arrivals. */
class Simulation {
  readonly clock = ManualClock.create();

  readonly arrivalTimesMs: number[] = [];

  readonly members: SimulatedMember[] = [];

  private constructor(private readonly maxRequestsPerS: number) {}

  static create(maxRequestsPerS: number, count: number): Simulation {
    const simulation = new Simulation(maxRequestsPerS);
    simulation.addMembers(count);
    simulation.exchangeHeartbeats(() => true);
    return simulation;
  }

  addMembers(count: number): void {
    for (let added = 0; added < count; added += 1) {
      this.members.push(createMember(this.clock, this.members.length, this.maxRequestsPerS));
    }
  }

  run(
    durationMs: number,
    isConnected: (left: number, right: number) => boolean = () => true,
    isRunning: (index: number) => boolean = () => true,
  ): void {
    const startedAtMs = this.clock.monotonicMs();
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      if (elapsedMs % HEARTBEAT_INTERVAL_MS === 0) this.exchangeHeartbeats(isConnected, isRunning);
      this.members.forEach(({ service, instance }, index) => {
        if (!isRunning(index) || service.calculateWaitMs(instance) > 0) return;
        service.beginRequest(instance)();
        this.arrivalTimesMs.push(this.clock.monotonicMs());
      });
      this.clock.advance(STEP_MS);
    }
    expect(this.clock.monotonicMs()).to.be.at.least(startedAtMs + durationMs);
  }

  private exchangeHeartbeats(
    isConnected: (left: number, right: number) => boolean,
    isRunning: (index: number) => boolean = () => true,
  ): void {
    this.members.forEach(({ table }, index) => {
      if (!isRunning(index)) return;
      this.members.forEach(({ status }, other) => {
        if (other === index || !isRunning(other) || !isConnected(index, other)) return;
        table.recordHeartbeat(status, status.callerEndpoint.host);
      });
      table.removeLost();
    });
  }
}

const calculateAllowed = (maxRequestsPerS: number): number =>
  1.5 * maxRequestsPerS * (WINDOW_MS / 1_000) + 5;

describe('sharing of an advertised limit', () => {
  [14, 92, 142].forEach((count) => {
    [0.5, 2.6, 10, 40].forEach((limit) => {
      // Guards against more requests than an instance takes, however many members there are, and
      // against a limit whose shares are too small to be used.
      it(`uses a limit of ${limit}/s on ${count} members without exceeding it`, () => {
        const simulation = Simulation.create(limit, count);
        simulation.run(40_000);
        const most = countMostInWindow(simulation.arrivalTimesMs);
        expect(most).to.be.at.most(calculateAllowed(limit));
        expect(simulation.arrivalTimesMs.length / 40).to.be.above(limit * 0.7);
      });

      // Guards against more requests while members know of each other at different times.
      it(`keeps a limit of ${limit}/s while members join ${count}, are cut off, freeze and return`, () => {
        const simulation = Simulation.create(limit, count);
        simulation.run(10_000);
        simulation.addMembers(Math.ceil(count * 0.3));
        simulation.run(10_000);
        const half = simulation.members.length / 2;
        simulation.run(MEMBER_REMOVAL_MS - 5_000, (left, right) => left < half === right < half);
        simulation.run(5_000);
        simulation.run(
          10_000,
          () => true,
          (index) => index % 3 !== 0,
        );
        simulation.run(10_000);
        const most = countMostInWindow(simulation.arrivalTimesMs);
        expect(most).to.be.at.most(calculateAllowed(limit));
      });
    });
  });
});
