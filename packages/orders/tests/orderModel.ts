/* eslint no-param-reassign: [error, { props: false }] -- the model mutates its processes */
import { ManualClock, SeededRandom, isSameMember, randomInteger } from '@bronzelift/common';

import type { MemberId } from '@bronzelift/common';
import { DEFAULT_LIMITS, OrderCoordinator, formatTicket } from '../src/index.js';

import type {
  ForwardResult,
  OrderAnswer,
  MembershipView,
  PeerOrderTransport,
  RunRequest,
  RunResult,
} from '../src/index.js';

const HEARTBEAT_MS = 500;
const LEASE_MS = 3000;
const SETTLE_MS = 3500;
const CALL_TIMEOUT_MS = 300;
const MEMBER_COUNT = 4;

/** Probabilities in percent of faults of a message or a run, and the seed of the schedule. */
export interface FaultRates {
  readonly seed: number;
  readonly lossPercent: number;
  readonly slowPercent: number;
  readonly duplicatePercent: number;
  readonly backendLossPercent: number;
  readonly refusalPercent: number;
}

/** One request of a caller; `answer` stays undefined when its entry VM dies. */
export interface CallRecord {
  readonly key: string;
  readonly startedAtMs: number;
  readonly deadlineAtMs: number;
  answeredAtMs?: number;
  answer?: OrderAnswer;
}

type CallResult<T> = { kind: 'ok'; value: T } | { kind: 'refused' } | { kind: 'silent' };

interface Process {
  member: MemberId;
  coordinator: OrderCoordinator;
  isFrozen: boolean;
  isIsolated: boolean;
  silentSinceMs: number | undefined;
  leaseUntilMs: number;
  diedAtMs: number | undefined;
  hasDeparted: boolean;
  logReadAtMs: number;
  delayedActions: (() => unknown)[];
}

interface SimulatedEvent {
  readonly atMs: number;
  readonly owner: Process | undefined;
  readonly action: () => unknown;
}

/** Simulates four members with messages, leases and evictions, and one backend server. */
export class OrderModel {
  readonly calls: CallRecord[] = [];

  readonly runs: { key: string; atMs: number }[] = [];

  readonly violations: string[] = [];

  readonly processes: Process[] = [];

  private readonly clock = ManualClock.create(1_700_000_000_000);

  private readonly random: SeededRandom;

  private readonly events: SimulatedEvent[] = [];

  private readonly evictedAtMs = new Map<string, number>();

  private incarnations = 0;

  private constructor(private faultRates: FaultRates) {
    this.random = SeededRandom.create(faultRates.seed);
    for (let vm = 0; vm < MEMBER_COUNT; vm += 1) this.start(vm);
    this.schedule(HEARTBEAT_MS, undefined, () => this.evictSilent());
  }

  static create(faultRates: FaultRates): OrderModel {
    return new OrderModel(faultRates);
  }

  nowMs(): number {
    return this.clock.wallMs();
  }

  ticket(home: number, witness: number): string {
    const member = (vm: number): MemberId => this.processes[vm]!.member;
    return formatTicket({ home: member(home), witness: member(witness), issuedAtMs: this.nowMs() });
  }

  /** Runs the events of a duration; those of a frozen process are delayed until it resumes. */
  async advance(durationMs: number): Promise<void> {
    const untilMs = this.clock.monotonicMs() + durationMs;
    while ((this.events[0]?.atMs ?? Infinity) <= untilMs) {
      const { atMs, owner, action } = this.events.shift()!;
      this.clock.advance(Math.max(0, atMs - this.clock.monotonicMs()));
      if (owner?.diedAtMs === undefined) {
        if (owner?.isFrozen) owner.delayedActions.push(action);
        else action();
        await new Promise(setImmediate);
      }
    }
    this.clock.advance(Math.max(0, untilMs - this.clock.monotonicMs()));
  }

  call(vm: number, key: string, timeoutMs: number): CallRecord {
    const deadlineAtMs = this.nowMs() + timeoutMs;
    const record: CallRecord = { key, startedAtMs: this.nowMs(), deadlineAtMs };
    this.calls.push(record);
    const body = new Uint8Array();
    const request = { key, method: 'POST', path: '/s/o', headers: {}, body, deadlineAtMs };
    const process = this.processes[vm]!;
    this.schedule(0, process, async () => {
      record.answer = await process.coordinator.handleOrder(request);
      record.answeredAtMs = this.nowMs();
    });
    return record;
  }

  freeze(vm: number, durationMs: number): void {
    const process = this.processes[vm]!;
    process.isFrozen = true;
    process.silentSinceMs ??= this.clock.monotonicMs();
    this.schedule(durationMs, undefined, () => this.resume(process));
  }

  isolate(vm: number, durationMs: number): void {
    const process = this.processes[vm]!;
    process.isIsolated = true;
    process.silentSinceMs ??= this.clock.monotonicMs();
    this.schedule(durationMs, undefined, () => {
      process.isIsolated = false;
    });
  }

  kill(vm: number): void {
    this.processes[vm]!.diedAtMs ??= this.clock.monotonicMs();
  }

  restart(vm: number): void {
    this.kill(vm);
    this.start(vm);
  }

  leave(vm: number): void {
    const process = this.processes[vm]!;
    this.schedule(0, process, async () => {
      await process.coordinator.handOver(LEASE_MS);
      process.hasDeparted = true;
      process.diedAtMs ??= this.clock.monotonicMs();
    });
  }

  /** Ends all faults and starts a new process on VMs whose process has died. */
  heal(): void {
    this.faultRates = { ...this.faultRates, lossPercent: 0, slowPercent: 0, duplicatePercent: 0 };
    this.faultRates = { ...this.faultRates, backendLossPercent: 0 };
    this.processes.forEach((process, vm) => {
      this.resume(process);
      process.isIsolated = false;
      if (process.diedAtMs !== undefined) this.start(vm);
    });
  }

  private start(vm: number): void {
    const process = {
      member: this.newMember(vm),
      isFrozen: false,
      isIsolated: false,
      silentSinceMs: undefined,
      leaseUntilMs: this.clock.monotonicMs() + LEASE_MS,
      diedAtMs: undefined,
      hasDeparted: false,
      logReadAtMs: this.clock.monotonicMs(),
      delayedActions: [],
    } as unknown as Process;
    process.coordinator = OrderCoordinator.create({
      clock: this.clock,
      limits: DEFAULT_LIMITS,
      transport: this.createTransport(process),
      knowledge: this.createMembershipView(process),
      runner: { run: (request) => this.runOrder(process, request) },
      onViolation: (name, detail) => this.violations.push(`${name}: ${detail}`),
      sleep: (durationMs) => this.sleep(process, durationMs),
    });
    this.processes[vm] = process;
    this.heartbeat(vm, process);
  }

  private newMember(vm: number): MemberId {
    this.incarnations += 1;
    return { vmId: `vm${vm}`, incarnation: `i${this.incarnations}` };
  }

  private resume(process: Process): void {
    process.isFrozen = false;
    // In random order, so that the member may act before it processes what it has missed.
    process.delayedActions
      .splice(0)
      .forEach((action) => this.schedule(randomInteger(this.random, 0, 1000), process, action));
  }

  private schedule(delayMs: number, owner: Process | undefined, action: () => unknown): void {
    const atMs = this.clock.monotonicMs() + delayMs;
    const index = this.events.findIndex((event) => event.atMs > atMs);
    this.events.splice(index < 0 ? this.events.length : index, 0, { atMs, owner, action });
  }

  private sleep(owner: Process, durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.schedule(durationMs, owner, resolve);
    });
  }

  private happensWith(percent: number): boolean {
    return this.random.next() * 100 < percent;
  }

  private randomLatencyMs(): number {
    const isSlow = this.happensWith(this.faultRates.slowPercent);
    return randomInteger(this.random, 1, isSlow ? 6000 : 10);
  }

  /** Renews the lease, or starts a new incarnation when the log contains the eviction. */
  private heartbeat(vm: number, process: Process): void {
    this.schedule(HEARTBEAT_MS, process, () => this.heartbeat(vm, process));
    if (process.isIsolated) return;
    const nowMs = this.clock.monotonicMs();
    process.logReadAtMs = nowMs;
    if (this.evictedAtMs.has(process.member.incarnation)) {
      process.coordinator.discardIncarnation();
      process.member = this.newMember(vm);
    }
    process.silentSinceMs = undefined;
    process.leaseUntilMs = nowMs + LEASE_MS;
  }

  private evictSilent(): void {
    this.schedule(HEARTBEAT_MS, undefined, () => this.evictSilent());
    const nowMs = this.clock.monotonicMs();
    for (const { silentSinceMs, member } of this.processes) {
      if (silentSinceMs === undefined || nowMs - silentSinceMs < LEASE_MS) continue;
      if (!this.evictedAtMs.has(member.incarnation))
        this.evictedAtMs.set(member.incarnation, nowMs);
    }
  }

  private processOf(member: MemberId): Process {
    return this.processes[Number(member.vmId.slice(2))]!;
  }

  private isConfirmedGone(observer: Process, member: MemberId): boolean {
    const target = this.processOf(member);
    if (observer.isIsolated || target.isIsolated || target.isFrozen) return false;
    return target.diedAtMs !== undefined || !isSameMember(target.member, member);
  }

  private createMembershipView(observer: Process): MembershipView {
    const isEvicted = (member: MemberId): boolean => {
      const evictedAtMs = this.evictedAtMs.get(member.incarnation);
      if (evictedAtMs === undefined || evictedAtMs > observer.logReadAtMs) return false;
      return evictedAtMs + SETTLE_MS <= this.clock.monotonicMs();
    };
    return {
      ownMember: () => observer.member,
      isGone: (member) => isEvicted(member) || this.processOf(member).hasDeparted,
      confirmGone: async (member) => {
        await this.sleep(observer, 100);
        return this.isConfirmedGone(observer, member);
      },
      isSilent: (member) => {
        const { silentSinceMs } = this.processOf(member);
        return silentSinceMs !== undefined && silentSinceMs + 1500 < this.clock.monotonicMs();
      },
      holdsLease: () => this.clock.monotonicMs() < observer.leaseUntilMs,
      issueTicket: () =>
        formatTicket({ home: observer.member, witness: undefined, issuedAtMs: this.nowMs() }),
    };
  }

  /** Sends a message and its response; both can be late or lost, and copies can be duplicated. */
  private send<T>(
    from: Process,
    to: MemberId,
    timeoutMs: number,
    handle: (target: Process) => T | Promise<T>,
    copies = 1,
  ): Promise<CallResult<T>> {
    return new Promise((resolve) => {
      const answer = (result: CallResult<T>): void =>
        this.schedule(this.randomLatencyMs(), from, () => resolve(result));
      this.schedule(timeoutMs, from, () => resolve({ kind: 'silent' }));
      for (let copy = 0; copy < copies; copy += 1) {
        if (this.happensWith(this.faultRates.lossPercent)) continue;
        this.schedule(this.randomLatencyMs(), undefined, () => {
          const target = this.processOf(to);
          if (from.isIsolated || target.isIsolated) return;
          if (target.diedAtMs !== undefined) answer({ kind: 'refused' });
          this.schedule(0, target, async () => {
            const value = await handle(target);
            const isLost = from.isIsolated || target.isIsolated;
            if (!isLost && !this.happensWith(this.faultRates.lossPercent))
              answer({ kind: 'ok', value });
          });
        });
      }
    });
  }

  private async sendIdempotent<T>(
    from: Process,
    to: MemberId,
    fallback: T,
    handle: (target: Process) => T | Promise<T>,
  ): Promise<T> {
    for (let round = 0; round < 2; round += 1) {
      const copies = this.happensWith(this.faultRates.duplicatePercent) ? 2 : 1;
      const result = await this.send(from, to, CALL_TIMEOUT_MS, handle, copies);
      if (result.kind === 'ok') return result.value;
    }
    return fallback;
  }

  private createTransport(from: Process): PeerOrderTransport {
    return {
      claim: (to, claim) =>
        this.sendIdempotent(from, to, 'unavailable', (target) =>
          target.coordinator.witnessService.claim(claim),
        ),
      takeover: (to, key, hash) =>
        this.sendIdempotent(from, to, { kind: 'unavailable' }, (target) =>
          target.coordinator.witnessService.takeover(key, hash),
        ),
      release: (to, key, attempt) =>
        this.sendIdempotent(from, to, 'unavailable', (target) =>
          target.coordinator.witnessService.release(to, key, attempt),
        ),
      completions: (to, reports) =>
        this.sendIdempotent(from, to, 'unavailable', (target) =>
          target.coordinator.witnessService.completions(to, reports),
        ),
      handover: (to, part) =>
        this.sendIdempotent(from, to, 'unavailable', (target) =>
          target.coordinator.witnessService.handover(to, part),
        ),
      forward: async (kind, to, request) => {
        const result = await this.send<ForwardResult>(
          from,
          to,
          Math.max(0, request.deadlineAtMs - this.nowMs()),
          (target) => target.coordinator.handleForwarded(kind, request),
        );
        if (result.kind === 'ok') return result.value;
        return { kind: result.kind === 'refused' ? 'not-reached' : 'no-response' };
      },
    };
  }

  /** Waits for a slot and sends; the backend refuses orders that arrive after the lease or the deadline has ended. */
  private async runOrder(owner: Process, request: RunRequest): Promise<RunResult> {
    await this.sleep(owner, randomInteger(this.random, 0, 200));
    const refusal: RunResult = { kind: 'not-run', code: 'refused', retryAfterMs: 300 };
    if (this.happensWith(this.faultRates.refusalPercent) || !request.guard.beforeSend())
      return refusal;
    const fenceMs = Math.min(
      owner.leaseUntilMs,
      this.clock.monotonicMs() + request.deadlineAtMs - this.nowMs(),
    );
    if (this.clock.monotonicMs() >= fenceMs) this.violations.push('sent after the fence');
    const response = await new Promise<'ran' | 'fenced' | 'lost'>((resolve) => {
      this.schedule(this.randomLatencyMs(), undefined, () => {
        const isFenced = this.clock.monotonicMs() >= fenceMs;
        if (!isFenced) this.runs.push({ key: request.key, atMs: this.nowMs() });
        const isLost = this.happensWith(this.faultRates.backendLossPercent);
        const ended = isFenced ? 'fenced' : 'ran';
        this.schedule(this.randomLatencyMs(), owner, () => resolve(isLost ? 'lost' : ended));
      });
    });
    if (response === 'lost') return { kind: 'unknown', code: 'connection-silent' };
    if (response === 'ran') {
      return { kind: 'answered', answer: { status: 200, headers: {}, body: new Uint8Array(1) } };
    }
    request.guard.recordNotRun();
    return refusal;
  }
}
