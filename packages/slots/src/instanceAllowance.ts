import type { Clock } from '@bronzelift/common';

import { OBSERVATION_MARGIN_MS, PEER_COLD_TOLERANCE_MS } from './constants.js';
import { UsualLatency } from './usualLatency.js';
import type {
  AllowanceSettings,
  ColdReason,
  InstanceResponse,
  OwnerReport,
  Pace,
} from './types.js';

/** Identifies an open connection of this entry VM to the instance. */
export type ConnectionId = number;

interface TrackedConnection {
  readonly openedAtMs: number;
  /** Chain of proof to which the connection belongs whatever its age; undefined for none. */
  readonly chain?: number;
}

/** What was known before connections closed; valid again once the same process is recognized. */
interface Suspended {
  readonly allowance: number;
  readonly answers: number;
}

/** Result of a response. */
export interface AllowanceChange {
  /** Set when the instance was found cold; peers have to be told with an urgent heartbeat. */
  readonly coldReason?: ColdReason;
  /** True when the allowance rose. */
  readonly isRaised: boolean;
  /** True when the allowance was halved because responses are slow. */
  readonly isHalved?: boolean;
}

const UNCHANGED: AllowanceChange = { isRaised: false };

/**
 * How many slots of one instance this entry VM may use now, of those that it holds.
 *
 * Why the sum over all entry VMs stays within what a just-started instance can handle: every slot
 * has one holder, so that slots 0..coldSlots-1 together carry at most coldSlots requests. Any other
 * slot is used only on a connection that is proven to lead to a process that its owner observed with
 * a larger allowance. Proof is age: the connection was opened 1000 ms before the response on which
 * the observation rests and is still open. The process that gave this response was then already the
 * one behind the connection, because a connection does not outlive its process, and a successor
 * listens only after its predecessor ended. A connection to a process that started later cannot be
 * that old, so that it carries only slots below coldSlots until the owner has warmed up the new
 * process. The owner itself counts and reports only responses on connections with the same proof,
 * starting from the first connection that answers after a reset. The margin of 1000 ms covers
 * responses that were still on their way when their process ended. Equal boot ids of two connections
 * prove the same, because each start of a server chooses another one.
 */
export class InstanceAllowance {
  private readonly connections = new Map<ConnectionId, TrackedConnection>();

  private readonly usualLatency = UsualLatency.create();

  private allowance: number;

  private answers = 0;

  /** Local time of the observation on which the allowance rests. */
  private observedAtMs = -Infinity;

  /** Owner reports about an earlier time are ignored. */
  private resetAtMs = -Infinity;

  /** Boot id of the process on which the allowance rests, when it sends one. */
  private knownBootId: string | undefined;

  /** Number of the current chain of proof; each restart of the counting begins another one. */
  private chain = 0;

  private suspended: Suspended | undefined;

  private isOwner = false;

  private constructor(
    private readonly clock: Clock,
    private readonly settings: AllowanceSettings,
  ) {
    this.allowance = this.coldAllowance;
  }

  /** Creates the allowance of an instance about which nothing is known. */
  static create(clock: Clock, settings: AllowanceSettings): InstanceAllowance {
    return new InstanceAllowance(clock, settings);
  }

  /** Slots allowed at the moment, for heartbeats. */
  get allowed(): number {
    return this.allowance;
  }

  /** Milliseconds since the observation on which the allowance rests; Infinity without one. */
  ageMs(): number {
    return this.clock.monotonicMs() - this.observedAtMs;
  }

  /**
   * Takes whether this entry VM is the settled owner. A new owner keeps the allowance that the former
   * one reported only with a connection that satisfies the age rule.
   */
  setOwner(isOwner: boolean): void {
    if (isOwner === this.isOwner) return;
    this.isOwner = isOwner;
    this.answers = 0;
    const hasProof = [...this.connections.values()].some((one) => this.isProven(one));
    if (isOwner && !hasProof) this.reset();
  }

  /** Takes a connection that was opened at `openedAtMs` (monotonic; when it was established). */
  recordOpened(connection: ConnectionId, openedAtMs: number): void {
    this.connections.set(connection, { openedAtMs });
  }

  /**
   * Takes the end of a connection. The allowance falls to coldSlots until the process is recognized
   * again: by a later owner report, or by a response on a connection proven to lead to it. Servers
   * close idle connections, so that a single close must not forget a warm instance.
   */
  recordClosed(connection: ConnectionId): void {
    if (!this.connections.delete(connection)) return;
    if (this.allowance > this.coldAllowance) {
      this.suspended = { allowance: this.allowance, answers: this.answers };
    }
    this.allowance = this.coldAllowance;
    this.answers = 0;
    this.resetAtMs = this.clock.monotonicMs();
  }

  /** Forgets a connection that this entry VM closed by its own choice; that proves nothing. */
  forgetConnection(connection: ConnectionId): void {
    this.connections.delete(connection);
  }

  /** Takes a response on a connection. */
  recordResponse(connection: ConnectionId, response: InstanceResponse): AllowanceChange {
    const tracked = this.connections.get(connection);
    if (!tracked) return UNCHANGED;
    const pace = this.paceOf(tracked, response);
    const coldReason = this.findColdReason(response);
    if (coldReason) return this.goCold(connection, response, coldReason);
    if (pace === 'slow-series') return this.halve();
    this.recognize(connection, tracked, response);
    if (!this.isProven(this.connections.get(connection)!)) return UNCHANGED;
    this.knownBootId = response.bootId ?? this.knownBootId;
    const formerAllowance = this.allowance;
    this.restoreSuspended();
    if (this.isOwner) this.observe(pace === 'normal' && !response.isProbe);
    return { isRaised: this.allowance > formerAllowance };
  }

  /**
   * Takes what the owner reported in the response to a heartbeat; ignored by the owner itself. A
   * lower allowance counts whatever its order, since its estimated time varies with the transit.
   */
  recordOwnerReport(report: OwnerReport): void {
    if (this.isOwner) return;
    const isLower = report.allowance < this.allowance;
    const isNewer =
      report.observedAtMs > this.resetAtMs && report.observedAtMs >= this.observedAtMs;
    if (!isLower && !isNewer) return;
    this.allowance = Math.min(this.settings.slots, Math.max(this.coldAllowance, report.allowance));
    this.suspended = undefined;
    if (isNewer) this.observedAtMs = report.observedAtMs;
  }

  /**
   * Takes a peer's message that the instance was cold at `atMs` (local time of the receipt minus the
   * reported age). Repeated messages about the same event change nothing.
   */
  recordPeerCold(atMs: number): AllowanceChange {
    if (atMs <= this.resetAtMs + PEER_COLD_TOLERANCE_MS) return UNCHANGED;
    const wasRaised = this.isRaisedOrSuspended();
    this.reset();
    return wasRaised ? { coldReason: 'peer-report', isRaised: false } : UNCHANGED;
  }

  /** Whether a request may be sent in the slot on the connection; checked again before the send. */
  mayUse(slot: number, connection: ConnectionId): boolean {
    const tracked = this.connections.get(connection);
    if (!tracked) return false;
    if (slot < this.coldAllowance) return true;
    return slot < this.allowance && this.isProven(tracked);
  }

  /** Those of the held slots that may be used on the connection. */
  usableSlots(heldSlots: readonly number[], connection: ConnectionId): number[] {
    return heldSlots.filter((slot) => this.mayUse(slot, connection));
  }

  private get coldAllowance(): number {
    return Math.min(this.settings.coldSlots, this.settings.slots);
  }

  private isRaisedOrSuspended(): boolean {
    return this.allowance > this.coldAllowance || this.suspended !== undefined;
  }

  /** Whether the connection leads to the process on which the allowance rests. */
  private isProven(tracked: TrackedConnection): boolean {
    if (tracked.chain === this.chain) return true;
    return tracked.openedAtMs + OBSERVATION_MARGIN_MS <= this.observedAtMs;
  }

  private paceOf(tracked: TrackedConnection, response: InstanceResponse): Pace {
    if (response.isProbe) return 'normal';
    const isWarm = this.allowance >= this.settings.slots && this.isProven(tracked);
    return this.usualLatency.observe(response.latencyMs, isWarm);
  }

  private findColdReason(response: InstanceResponse): ColdReason | undefined {
    if (response.isCold) return 'cold-report';
    if (response.isOverloadRefusal) return 'overload-refusal';
    const bootId = response.bootId ?? this.knownBootId;
    if (this.knownBootId !== undefined && bootId !== this.knownBootId) return 'new-boot-id';
    return undefined;
  }

  /**
   * A cold instance stays slow, so that the allowance reaches coldSlots within a few responses. A
   * noisy neighbour slows many instances for a moment; taking all of them for cold at once would
   * leave a fraction of the capacity for seconds.
   */
  private halve(): AllowanceChange {
    const wasRaised = this.isRaisedOrSuspended();
    this.allowance = Math.max(this.coldAllowance, Math.floor(this.allowance / 2));
    this.answers = 0;
    this.suspended = undefined;
    return wasRaised ? { isRaised: false, isHalved: true } : UNCHANGED;
  }

  private goCold(
    connection: ConnectionId,
    response: InstanceResponse,
    coldReason: ColdReason,
  ): AllowanceChange {
    const wasRaised = this.isRaisedOrSuspended();
    this.reset();
    this.startChain(connection, response.bootId);
    return wasRaised ? { coldReason, isRaised: false } : UNCHANGED;
  }

  /** Adds the connection to the chain when its boot id is the known one, or begins a chain. */
  private recognize(
    connection: ConnectionId,
    tracked: TrackedConnection,
    response: InstanceResponse,
  ): void {
    if (this.isProven(tracked)) return;
    if (this.knownBootId !== undefined && response.bootId === this.knownBootId) {
      this.connections.set(connection, { ...tracked, chain: this.chain });
      return;
    }
    const isAnyProven = [...this.connections.values()].some((one) => this.isProven(one));
    if (this.isOwner && !isAnyProven) this.startChain(connection, response.bootId);
  }

  /**
   * Drops all proof. The owner counts again from this connection, as after a start of the instance;
   * another member waits for the owner's next report.
   */
  private startChain(connection: ConnectionId, bootId: string | undefined): void {
    this.reset();
    this.chain += 1;
    this.observedAtMs = -Infinity;
    this.knownBootId = undefined;
    if (!this.isOwner) return;
    this.knownBootId = bootId;
    const { openedAtMs } = this.connections.get(connection)!;
    this.connections.set(connection, { openedAtMs, chain: this.chain });
  }

  private restoreSuspended(): void {
    if (!this.suspended) return;
    this.allowance = this.suspended.allowance;
    this.answers = this.suspended.answers;
    this.suspended = undefined;
  }

  private observe(isCounted: boolean): void {
    this.observedAtMs = this.clock.monotonicMs();
    if (!isCounted || this.allowance >= this.settings.slots) return;
    this.answers += 1;
    if (this.answers < this.settings.warmupAnswers) return;
    this.allowance += 1;
    this.answers = 0;
  }

  private reset(): void {
    this.allowance = this.coldAllowance;
    this.answers = 0;
    this.suspended = undefined;
    this.resetAtMs = this.clock.monotonicMs();
  }
}
