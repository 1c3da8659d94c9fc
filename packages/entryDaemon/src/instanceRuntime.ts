import { BackendPool } from '@bronzelift/backend-client';
import type {
  BackendAttempt,
  BackendConnection,
  BackendRequest,
  ConnectionClosed,
  ReportedLoad,
} from '@bronzelift/backend-client';
import type { Clock } from '@bronzelift/common';
import { assertNever } from '@bronzelift/common';
import type { InstanceConfiguration, ServiceConfiguration } from '@bronzelift/configuration';
import type { Invariants } from '@bronzelift/observability';
import { InvariantName } from '@bronzelift/observability';
import { InstanceAllowance, ProbeBudget } from '@bronzelift/slots';

import {
  CONNECTION_COST_MS,
  GIVEN_UP_HOLD_MS,
  OUT_GRACE_MS,
  PROBE_COST_MS,
  PROBE_INTERVAL_MS,
  PROBE_TIMEOUT_MS,
  PROVEN_CONNECTION_MS,
  USABLE_UNPROVEN_MS,
} from './constants.js';

/** Parameters of an instance at this entry VM. */
export interface InstanceRuntimeOptions {
  readonly clock: Clock;
  readonly instance: InstanceConfiguration;
  readonly service: ServiceConfiguration;
  /** Tells these settings from others of the same instance. */
  readonly settingsKey: string;
  readonly invariants: Invariants;
  /** The instance was found cold; peers have to hear of it. */
  readonly onCold: (instanceId: string, reason: string) => void;
  /** Slots may have become usable or unusable. */
  readonly onChange: () => void;
}

/** A slot reserved for one attempt. */
export interface SlotUse {
  readonly runtime: InstanceRuntime;
  readonly slot: number;
  /** Undefined: a new connection has to be opened. */
  connection: BackendConnection | undefined;
  /** The backend server may still work on the request although it was given up. */
  mayStillRun: boolean;
  readonly release: () => void;
}

/** Whether this side closed the connection before the backend server had finished. */
const isGivenUp = (attempt: BackendAttempt): boolean => {
  switch (attempt.kind) {
    case 'failed-after-send':
      return attempt.reason !== 'reset' && attempt.reason !== 'cut-short';
    case 'too-large':
      return true;
    case 'answered':
    case 'refused':
    case 'not-sent':
      return false;
    default:
      return assertNever(attempt);
  }
};

/** One instance as this entry VM uses it: held slots, connections, allowance and probes. */
export class InstanceRuntime {
  readonly allowance: InstanceAllowance;

  private readonly pool: BackendPool;

  private probeBudget: ProbeBudget;

  private spentOnProbesMs = 0;

  private readonly inUse = new Set<number>();

  private held: readonly number[] = [];

  private outSinceMs: number | undefined;

  private drainingSinceMs: number | undefined;

  private probing = false;

  private constructor(private readonly options: InstanceRuntimeOptions) {
    const { clock, instance, service, invariants } = options;
    this.allowance = InstanceAllowance.create(clock, {
      slots: instance.slots,
      coldSlots: service.coldSlots,
      warmupAnswers: service.warmupAnswers,
    });
    this.pool = BackendPool.create({
      instanceId: instance.id,
      endpoint: instance.address,
      maxConnections: instance.connections,
      clock,
      onConnectionClosed: (event) => this.noteClosed(event),
      onViolation: (name, detail) => invariants.report(name, detail),
    });
    this.probeBudget = this.createBudget(0);
  }

  /** Creates an instance of which no slot is held. */
  static create(options: InstanceRuntimeOptions): InstanceRuntime {
    return new InstanceRuntime(options);
  }

  get id(): string {
    return this.options.instance.id;
  }

  get failureDomainId(): string {
    return this.options.instance.failureDomainId;
  }

  /** Tells the settings of this object from others of the same instance. */
  get settingsKey(): string {
    return this.options.settingsKey;
  }

  /** Settings with which this object was created. */
  get configuration(): InstanceConfiguration {
    return this.options.instance;
  }

  /** Whether the instance may take new work at all. */
  get isAvailable(): boolean {
    return this.outSinceMs === undefined && !this.isDraining;
  }

  /** Whether the backend server said last that it drains. */
  private get isDraining(): boolean {
    return this.drainingSinceMs !== undefined;
  }

  get heldCount(): number {
    return this.held.length;
  }

  get inUseCount(): number {
    return this.inUse.size;
  }

  /** Held slots that the allowance covers, in use or not. */
  get usableCount(): number {
    if (!this.isAvailable) return 0;
    return this.held.filter((slot) => slot < this.allowance.allowed).length;
  }

  /** Sets the held slots and whether this entry VM is the settled owner. */
  setHeld(held: readonly number[], isOwner: boolean): void {
    // The budget is divided by slots, so that the holders together stay within it.
    if (held.length !== this.held.length) this.probeBudget = this.createBudget(held.length);
    this.held = held;
    this.allowance.setOwner(isOwner);
  }

  /** Sets whether operators or the platform take the instance out of service. */
  setOut(isOut: boolean): void {
    if (isOut === (this.outSinceMs !== undefined)) return;
    this.outSinceMs = isOut ? this.options.clock.monotonicMs() : undefined;
  }

  /** Whether a slot of a former assignment still carries a request. */
  isBusyOutside(slots: readonly number[]): boolean {
    return [...this.inUse].some((slot) => !slots.includes(slot));
  }

  /** Slots that a request could take now. */
  freeSlots(isOrder: boolean): number {
    if (!this.isAvailable) return 0;
    const free = this.unusedSlots();
    const cold = free.filter((slot) => slot < this.options.service.coldSlots).length;
    if (free.length === cold || this.allowance.allowed <= this.options.service.coldSlots) {
      return cold;
    }
    const warm = free.filter(
      (slot) => slot >= this.options.service.coldSlots && slot < this.allowance.allowed,
    );
    const proven = this.usableConnections(isOrder).filter((connection) =>
      warm.some((slot) => this.allowance.mayUse(slot, connection.id)),
    );
    return cold + Math.min(warm.length, proven.length);
  }

  /** Reserves a slot with a connection that may carry it; undefined when there is none. */
  reserve(isOrder: boolean): SlotUse | undefined {
    if (!this.isAvailable) return undefined;
    const free = this.unusedSlots();
    for (const connection of this.usableConnections(isOrder)) {
      // The highest slot is taken, since low slots are the only ones for new connections.
      const slot = free.findLast((candidate) => this.allowance.mayUse(candidate, connection.id));
      if (slot !== undefined && this.pool.take(connection)) return this.take(slot, connection);
    }
    const coldSlot = free.find((slot) => slot < this.options.service.coldSlots);
    return coldSlot === undefined ? undefined : this.take(coldSlot, undefined);
  }

  /** Opens the connection of a reserved slot if it needs one; false when there is none. */
  async connect(use: SlotUse, signal: AbortSignal): Promise<string | undefined> {
    if (use.connection) return undefined;
    const acquired = await this.pool.acquire({ isNew: true }, signal);
    if (acquired.kind === 'not-available') return acquired.reason;
    // eslint-disable-next-line no-param-reassign -- the use carries its connection from here on
    use.connection = acquired.connection;
    this.allowance.recordOpened(acquired.connection.id, acquired.connection.openedAtMs);
    return undefined;
  }

  /** Last check before the send, in the same tick; false when the slot must not be used. */
  maySend(use: SlotUse): boolean {
    const { connection, slot } = use;
    if (!connection?.isOpen || !this.held.includes(slot)) return false;
    if (!this.isAvailable || !this.inUse.has(slot)) return false;
    return this.allowance.mayUse(slot, connection.id);
  }

  /** Sends a request on a reserved slot and learns from the response. */
  async send(use: SlotUse, request: BackendRequest, signal: AbortSignal): Promise<BackendAttempt> {
    this.assertSend();
    const connection = use.connection!;
    const attempt = await this.pool.send(request, connection, signal);
    this.learn(connection, attempt, attempt.durationMs);
    // A warm instance queues the next request, so only a colder one has to be protected.
    const isWarm = this.allowance.allowed >= this.options.instance.slots;
    // eslint-disable-next-line no-param-reassign -- the use knows how its slot may be released
    use.mayStillRun = isGivenUp(attempt) && !isWarm;
    return attempt;
  }

  /** Keeps a connection for each held slot, and probes connections that have been quiet. */
  maintain(): void {
    this.pool.sweep();
    if (this.held.length === 0 || this.outSinceMs !== undefined) return;
    const { idle, busy, opening } = this.pool.stats();
    if (idle + busy + opening < this.held.length) this.openAhead();
    this.probeQuietConnection();
  }

  /** Takes no new work and closes the connections once they are idle. */
  retire(): void {
    this.held = [];
    this.setOut(true);
    this.pool.close();
  }

  /** Closes all connections. */
  close(): void {
    this.pool.destroy();
  }

  /** State for the admin port. */
  status(): Record<string, unknown> {
    return {
      instance: this.id,
      heldSlots: this.held,
      inUse: this.inUse.size,
      allowance: this.allowance.allowed,
      observationAgeMs: this.allowance.ageMs(),
      isOut: this.outSinceMs !== undefined,
      isDraining: this.isDraining,
      probeSpentMs: this.spentOnProbesMs,
      ...this.pool.stats(),
    };
  }

  /** Backend milliseconds spent on probes and connections opened ahead. */
  get probeSpentMs(): number {
    return this.spentOnProbesMs;
  }

  private unusedSlots(): number[] {
    return this.held.filter((slot) => !this.inUse.has(slot));
  }

  /** Idle connections, the latest proven first; orders take none that may have gone silent. */
  private usableConnections(isOrder: boolean): BackendConnection[] {
    const nowMs = this.options.clock.monotonicMs();
    const provenAtMs = (one: BackendConnection): number => one.lastResponseAtMs ?? one.openedAtMs;
    const idle = this.pool
      .idleConnections()
      .sort((left, right) => provenAtMs(right) - provenAtMs(left));
    if (!isOrder) return idle;
    const proven = idle.filter((one) => nowMs - provenAtMs(one) <= PROVEN_CONNECTION_MS);
    if (proven.length > 0) return proven;
    return idle.filter((one) => nowMs - provenAtMs(one) <= USABLE_UNPROVEN_MS);
  }

  private take(slot: number, connection: BackendConnection | undefined): SlotUse {
    this.inUse.add(slot);
    let isReleased = false;
    const use: SlotUse = {
      runtime: this,
      slot,
      connection,
      mayStillRun: false,
      release: () => {
        if (isReleased) return;
        isReleased = true;
        if (use.connection) this.pool.release(use.connection);
        if (use.mayStillRun) setTimeout(() => this.freeSlot(slot), GIVEN_UP_HOLD_MS).unref();
        else this.freeSlot(slot);
      },
    };
    return use;
  }

  private freeSlot(slot: number): void {
    this.inUse.delete(slot);
    this.options.onChange();
  }

  private assertSend(): void {
    const { clock, invariants } = this.options;
    const isPastGrace = (sinceMs: number | undefined): boolean =>
      sinceMs !== undefined && clock.monotonicMs() - sinceMs > OUT_GRACE_MS;
    if (isPastGrace(this.outSinceMs)) {
      invariants.report(InvariantName.domainOut, `${this.id} is out of service but got work`);
    }
    if (isPastGrace(this.drainingSinceMs)) {
      invariants.report(InvariantName.leavingBackend, `${this.id} drains but got work`);
    }
    if (this.inUse.size > this.options.instance.slots) {
      invariants.report(InvariantName.coldStartLimit, `${this.id} has more requests than slots`);
    }
  }

  private learn(connection: BackendConnection, attempt: BackendAttempt, latencyMs: number): void {
    if (attempt.kind !== 'answered' && attempt.kind !== 'refused') return;
    const { load } = attempt.response;
    this.noteLoad(load);
    const change = this.allowance.recordResponse(connection.id, {
      latencyMs,
      ...(load.bootId !== undefined && { bootId: load.bootId }),
      isCold: load.state === 'cold',
      isOverloadRefusal: attempt.kind === 'refused' && load.state !== 'draining',
    });
    if (change.coldReason) this.options.onCold(this.id, change.coldReason);
    if (change.isRaised || change.isHalved || change.coldReason) this.options.onChange();
  }

  private noteLoad(load: ReportedLoad): void {
    const isDraining = load.state === 'draining';
    if (isDraining === this.isDraining) return;
    this.drainingSinceMs = isDraining ? this.options.clock.monotonicMs() : undefined;
    this.options.onChange();
  }

  private noteClosed(event: ConnectionClosed): void {
    // A connection that this side gave up says nothing about the process behind it.
    const isOwnChoice =
      event.reason === 'cancelled' || event.reason === 'idle' || event.reason === 'pool-closed';
    if (isOwnChoice) this.allowance.forgetConnection(event.connection.id);
    else this.allowance.recordClosed(event.connection.id);
    this.options.onChange();
  }

  private createBudget(heldSlots: number): ProbeBudget {
    const { clock, instance, invariants, service } = this.options;
    return ProbeBudget.create(clock, {
      budgetMsPerS: (service.probeBudgetMsPerS * heldSlots) / instance.slots,
      onViolation: (detail) =>
        invariants.report(InvariantName.probeBudget, `${instance.id}: ${detail}`),
    });
  }

  private trySpend(costMs: number): boolean {
    if (!this.probeBudget.trySpend(costMs)) return false;
    this.spentOnProbesMs += costMs;
    return true;
  }

  private openAhead(): void {
    if (!this.trySpend(CONNECTION_COST_MS)) return;
    this.pool.acquire({ isNew: true }).then(
      (acquired) => {
        if (acquired.kind === 'not-available') return;
        this.allowance.recordOpened(acquired.connection.id, acquired.connection.openedAtMs);
        this.pool.release(acquired.connection);
      },
      () => {},
    );
  }

  private probeQuietConnection(): void {
    if (this.probing) return;
    const nowMs = this.options.clock.monotonicMs();
    const quiet = this.pool
      .idleConnections()
      .find((one) => nowMs - (one.lastResponseAtMs ?? -Infinity) > PROBE_INTERVAL_MS);
    if (!quiet || !this.trySpend(PROBE_COST_MS)) return;
    if (!this.pool.take(quiet)) return;
    this.probing = true;
    this.probe(quiet).finally(() => {
      this.probing = false;
      this.pool.release(quiet);
      this.options.onChange();
    });
  }

  private async probe(connection: BackendConnection): Promise<void> {
    const { clock } = this.options;
    const attempt = await this.pool.send(
      {
        method: 'GET',
        path: '/load',
        headers: {},
        requestId: `probe-${connection.id}-${Math.trunc(clock.monotonicMs())}`,
        deadlineAtWallMs: clock.wallMs() + PROBE_TIMEOUT_MS,
        timeoutMs: PROBE_TIMEOUT_MS,
      },
      connection,
    );
    if (attempt.kind !== 'answered') return;
    const { load } = attempt.response;
    this.noteLoad(load);
    const change = this.allowance.recordResponse(connection.id, {
      latencyMs: attempt.durationMs,
      ...(load.bootId !== undefined && { bootId: load.bootId }),
      isCold: load.state === 'cold',
      isProbe: true,
    });
    if (change.coldReason) this.options.onCold(this.id, change.coldReason);
  }
}
