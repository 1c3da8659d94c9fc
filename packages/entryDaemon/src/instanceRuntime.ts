import { BackendPool } from '@bronzelift/backend-client';
import type {
  BackendAttempt,
  BackendConnection,
  BackendRequest,
  BufferBudget,
  ConnectionClosedEvent,
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
  ABANDONED_SLOT_HOLD_MS,
  OUT_OF_SERVICE_GRACE_MS,
  PROBE_COST_MS,
  PROBE_INTERVAL_MS,
  PROBE_TIMEOUT_MS,
  ORDER_PREFERRED_STALENESS_MS,
  ORDER_MAX_STALENESS_MS,
} from './constants.js';

/** Configuration, shared components and callbacks of an instance at this entry VM. */
export interface InstanceRuntimeOptions {
  readonly clock: Clock;
  readonly instance: InstanceConfiguration;
  readonly service: ServiceConfiguration;
  /** Differs between earlier and later settings of the same instance. */
  readonly settingsKey: string;
  readonly invariants: Invariants;
  /** Limits the bytes of responses that the process buffers. */
  readonly bufferBudget: BufferBudget;
  /** Called when the instance is found to be cold, so that peers can be told. */
  readonly onCold: (instanceId: string, reason: string) => void;
  /** Called when slots may have become usable or unusable. */
  readonly onChange: () => void;
}

/** A slot reserved for one attempt. */
export interface SlotReservation {
  readonly runtime: InstanceRuntime;
  readonly slot: number;
  /** Undefined until a new connection has been opened. */
  connection: BackendConnection | undefined;
  /** Whether the backend server may still process the request after it was abandoned. */
  mayStillRun: boolean;
  readonly release: () => void;
}

/** Whether this process closed the connection before the backend server had finished. */
const isAbandoned = (attempt: BackendAttempt): boolean => {
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

/** State of one instance at this entry VM: held slots, connections, allowance and probes. */
export class InstanceRuntime {
  readonly allowance: InstanceAllowance;

  private readonly pool: BackendPool;

  private probeBudget: ProbeBudget;

  private spentOnProbesMs = 0;

  private readonly inUse = new Set<number>();

  private heldSlotNumbers: readonly number[] = [];

  private outOfServiceSinceMs: number | undefined;

  private drainingSinceMs: number | undefined;

  private isProbing = false;

  private constructor(private readonly options: InstanceRuntimeOptions) {
    const { clock, instance, service, invariants, bufferBudget } = options;
    this.allowance = InstanceAllowance.create(clock, {
      slots: instance.slots,
      coldSlots: service.coldSlots,
      warmupAnswers: service.warmupAnswers,
    });
    this.pool = BackendPool.create({
      instanceId: instance.id,
      endpoint: instance.address,
      maxConnections: instance.connections,
      bufferBudget,
      clock,
      onConnectionClosed: (event) => this.handleConnectionClosed(event),
      onViolation: (name, detail) => invariants.report(name, detail),
    });
    this.probeBudget = this.createProbeBudget(0);
  }

  /** Creates an instance; its held slots are set later with `setHeldSlots`. */
  static create(options: InstanceRuntimeOptions): InstanceRuntime {
    return new InstanceRuntime(options);
  }

  get id(): string {
    return this.options.instance.id;
  }

  get failureDomainId(): string {
    return this.options.instance.failureDomainId;
  }

  /** Identifies the settings with which this object was created. */
  get settingsKey(): string {
    return this.options.settingsKey;
  }

  /** Configuration with which this object was created. */
  get configuration(): InstanceConfiguration {
    return this.options.instance;
  }

  /** Whether the instance is in service and not draining. */
  get isAvailable(): boolean {
    return this.outOfServiceSinceMs === undefined && !this.isDraining;
  }

  /** Whether the last response of the backend server reported that it is draining. */
  private get isDraining(): boolean {
    return this.drainingSinceMs !== undefined;
  }

  get heldSlotCount(): number {
    return this.heldSlotNumbers.length;
  }

  get usedSlotCount(): number {
    return this.inUse.size;
  }

  /** Number of held slots within the allowance, in use or not. */
  get usableSlotCount(): number {
    if (!this.isAvailable) return 0;
    return this.heldSlotNumbers.filter((slot) => slot < this.allowance.allowed).length;
  }

  /** Sets the held slots, and whether this entry VM is the settled owner of the instance. */
  setHeldSlots(held: readonly number[], isOwner: boolean): void {
    // The probe budget is divided in proportion to slots, so that all holders together keep it.
    if (held.length !== this.heldSlotNumbers.length)
      this.probeBudget = this.createProbeBudget(held.length);
    this.heldSlotNumbers = held;
    this.allowance.setOwner(isOwner);
  }

  /** Sets whether operators or the platform have taken the instance out of service. */
  setOutOfService(isOut: boolean): void {
    if (isOut === (this.outOfServiceSinceMs !== undefined)) return;
    this.outOfServiceSinceMs = isOut ? this.options.clock.monotonicMs() : undefined;
  }

  /** Whether a request still runs on a slot that is not among `slots`. */
  hasRequestOutside(slots: readonly number[]): boolean {
    return [...this.inUse].some((slot) => !slots.includes(slot));
  }

  /** Number of slots that a request could use now. */
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
    const verified = this.usableConnections(isOrder).filter((connection) =>
      warm.some((slot) => this.allowance.mayUse(slot, connection.id)),
    );
    return cold + Math.min(warm.length, verified.length);
  }

  /** Reserves a slot and, if it needs one, an idle connection; undefined if no slot is free. */
  reserve(isOrder: boolean): SlotReservation | undefined {
    if (!this.isAvailable) return undefined;
    const free = this.unusedSlots();
    for (const connection of this.usableConnections(isOrder)) {
      // Takes the highest slot, because only low slots can be used with new connections.
      const slot = free.findLast((candidate) => this.allowance.mayUse(candidate, connection.id));
      if (slot !== undefined && this.pool.take(connection))
        return this.createReservation(slot, connection);
    }
    const coldSlot = free.find((slot) => slot < this.options.service.coldSlots);
    return coldSlot === undefined ? undefined : this.createReservation(coldSlot, undefined);
  }

  /** Opens a connection for a reserved slot that has none; returns the reason of a failure. */
  async connect(reservation: SlotReservation, signal: AbortSignal): Promise<string | undefined> {
    if (reservation.connection) return undefined;
    const acquired = await this.pool.acquire({ isNew: true }, signal);
    if (acquired.kind === 'not-available') return acquired.reason;
    // eslint-disable-next-line no-param-reassign -- kept until `release`
    reservation.connection = acquired.connection;
    this.allowance.recordOpened(acquired.connection.id, acquired.connection.openedAtMs);
    return undefined;
  }

  /** Last check, in the same event loop tick as the send; false if the slot must not be used. */
  maySend(reservation: SlotReservation): boolean {
    const { connection, slot } = reservation;
    if (!connection?.isOpen || !this.heldSlotNumbers.includes(slot)) return false;
    if (!this.isAvailable || !this.inUse.has(slot)) return false;
    return this.allowance.mayUse(slot, connection.id);
  }

  /** Sends a request on a reserved slot and updates the allowance from the response. */
  async send(
    reservation: SlotReservation,
    request: BackendRequest,
    signal: AbortSignal,
  ): Promise<BackendAttempt> {
    this.checkSendInvariants();
    const connection = reservation.connection!;
    const attempt = await this.pool.send(request, connection, signal);
    this.recordAttempt(connection, attempt, attempt.durationMs);
    // A warm instance queues an extra request, so its slot can be released at once.
    const isWarm = this.allowance.allowed >= this.options.instance.slots;
    // eslint-disable-next-line no-param-reassign -- `release` reads this flag
    reservation.mayStillRun = isAbandoned(attempt) && !isWarm;
    return attempt;
  }

  /** Opens a missing connection, and probes a connection without a recent response. */
  maintain(): void {
    this.pool.sweep();
    if (this.heldSlotNumbers.length === 0 || this.outOfServiceSinceMs !== undefined) return;
    const { idle, busy, opening } = this.pool.stats();
    if (idle + busy + opening < this.heldSlotNumbers.length) this.openSpareConnection();
    this.probeStaleConnection();
  }

  /** Stops accepting requests and closes each connection once it is idle. */
  retire(): void {
    this.heldSlotNumbers = [];
    this.setOutOfService(true);
    this.pool.close();
  }

  /** Closes all connections at once; requests in flight fail. */
  close(): void {
    this.pool.destroy();
  }

  /** Current state, for `/status` on the admin port. */
  status(): Record<string, unknown> {
    return {
      instance: this.id,
      heldSlots: this.heldSlotNumbers,
      inUse: this.inUse.size,
      allowance: this.allowance.allowed,
      observationAgeMs: this.allowance.ageMs(),
      isOut: this.outOfServiceSinceMs !== undefined,
      isDraining: this.isDraining,
      probeSpentMs: this.spentOnProbesMs,
      ...this.pool.stats(),
    };
  }

  /** Backend milliseconds spent on probes and on connections opened before they are needed. */
  get probeSpentMs(): number {
    return this.spentOnProbesMs;
  }

  private unusedSlots(): number[] {
    return this.heldSlotNumbers.filter((slot) => !this.inUse.has(slot));
  }

  /** Idle connections, most recently verified first; for orders, only recently verified ones. */
  private usableConnections(isOrder: boolean): BackendConnection[] {
    const nowMs = this.options.clock.monotonicMs();
    const lastVerifiedAtMs = (connection: BackendConnection): number =>
      connection.lastResponseAtMs ?? connection.openedAtMs;
    const idle = this.pool
      .idleConnections()
      .sort((left, right) => lastVerifiedAtMs(right) - lastVerifiedAtMs(left));
    if (!isOrder) return idle;
    const verified = idle.filter(
      (connection) => nowMs - lastVerifiedAtMs(connection) <= ORDER_PREFERRED_STALENESS_MS,
    );
    if (verified.length > 0) return verified;
    return idle.filter(
      (connection) => nowMs - lastVerifiedAtMs(connection) <= ORDER_MAX_STALENESS_MS,
    );
  }

  private createReservation(
    slot: number,
    connection: BackendConnection | undefined,
  ): SlotReservation {
    this.inUse.add(slot);
    let isReleased = false;
    const reservation: SlotReservation = {
      runtime: this,
      slot,
      connection,
      mayStillRun: false,
      release: () => {
        if (isReleased) return;
        isReleased = true;
        if (reservation.connection) this.pool.release(reservation.connection);
        if (reservation.mayStillRun)
          setTimeout(() => this.freeSlot(slot), ABANDONED_SLOT_HOLD_MS).unref();
        else this.freeSlot(slot);
      },
    };
    return reservation;
  }

  private freeSlot(slot: number): void {
    this.inUse.delete(slot);
    this.options.onChange();
  }

  private checkSendInvariants(): void {
    const { clock, invariants } = this.options;
    const isGracePeriodOver = (sinceMs: number | undefined): boolean =>
      sinceMs !== undefined && clock.monotonicMs() - sinceMs > OUT_OF_SERVICE_GRACE_MS;
    if (isGracePeriodOver(this.outOfServiceSinceMs)) {
      invariants.report(
        InvariantName.domainOut,
        `${this.id} was sent a request while out of service`,
      );
    }
    if (isGracePeriodOver(this.drainingSinceMs)) {
      invariants.report(
        InvariantName.leavingBackend,
        `${this.id} was sent a request while draining`,
      );
    }
    if (this.inUse.size > this.options.instance.slots) {
      invariants.report(InvariantName.coldStartLimit, `${this.id} has more requests than slots`);
    }
  }

  private recordAttempt(
    connection: BackendConnection,
    attempt: BackendAttempt,
    latencyMs: number,
  ): void {
    if (attempt.kind !== 'answered' && attempt.kind !== 'refused') return;
    const { load } = attempt.response;
    this.recordReportedLoad(load);
    const change = this.allowance.recordResponse(connection.id, {
      latencyMs,
      ...(load.bootId !== undefined && { bootId: load.bootId }),
      isCold: load.state === 'cold',
      isOverloadRefusal: attempt.kind === 'refused' && load.state !== 'draining',
    });
    if (change.coldReason) this.options.onCold(this.id, change.coldReason);
    if (change.isRaised || change.isHalved || change.coldReason) this.options.onChange();
  }

  private recordReportedLoad(load: ReportedLoad): void {
    const isDraining = load.state === 'draining';
    if (isDraining === this.isDraining) return;
    this.drainingSinceMs = isDraining ? this.options.clock.monotonicMs() : undefined;
    this.options.onChange();
  }

  private handleConnectionClosed(event: ConnectionClosedEvent): void {
    // A connection that this process closed is no evidence about the backend process.
    const isClosedLocally =
      event.reason === 'cancelled' || event.reason === 'idle' || event.reason === 'pool-closed';
    if (isClosedLocally) this.allowance.forgetConnection(event.connection.id);
    else this.allowance.recordClosed(event.connection.id);
    this.options.onChange();
  }

  private createProbeBudget(heldSlots: number): ProbeBudget {
    const { clock, instance, invariants, service } = this.options;
    return ProbeBudget.create(clock, {
      budgetMsPerS: (service.probeBudgetMsPerS * heldSlots) / instance.slots,
      onViolation: (detail) =>
        invariants.report(InvariantName.probeBudget, `${instance.id}: ${detail}`),
    });
  }

  private trySpendProbeBudget(costMs: number): boolean {
    if (!this.probeBudget.trySpend(costMs)) return false;
    this.spentOnProbesMs += costMs;
    return true;
  }

  private openSpareConnection(): void {
    if (!this.trySpendProbeBudget(CONNECTION_COST_MS)) return;
    this.pool.acquire({ isNew: true }).then(
      (acquired) => {
        if (acquired.kind === 'not-available') return;
        this.allowance.recordOpened(acquired.connection.id, acquired.connection.openedAtMs);
        this.pool.release(acquired.connection);
      },
      () => {},
    );
  }

  private probeStaleConnection(): void {
    if (this.isProbing) return;
    const nowMs = this.options.clock.monotonicMs();
    const stale = this.pool
      .idleConnections()
      .find((connection) => nowMs - (connection.lastResponseAtMs ?? -Infinity) > PROBE_INTERVAL_MS);
    if (!stale || !this.trySpendProbeBudget(PROBE_COST_MS)) return;
    if (!this.pool.take(stale)) return;
    this.isProbing = true;
    this.probe(stale).finally(() => {
      this.isProbing = false;
      this.pool.release(stale);
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
    this.recordReportedLoad(load);
    const change = this.allowance.recordResponse(connection.id, {
      latencyMs: attempt.durationMs,
      ...(load.bootId !== undefined && { bootId: load.bootId }),
      isCold: load.state === 'cold',
      isProbe: true,
    });
    if (change.coldReason) this.options.onCold(this.id, change.coldReason);
  }
}
