import type { Clock } from '@bronzelift/common';

import { CONNECTION_AGE_MARGIN_MS, PEER_COLD_TOLERANCE_MS } from './constants.js';
import { UsualLatency } from './usualLatency.js';
import type {
  AllowanceSettings,
  ColdReason,
  InstanceResponse,
  OwnerReport,
  LatencyClass,
} from './types.js';

/** Id of an open connection from this entry VM to the instance. */
export type ConnectionId = number;

interface TrackedConnection {
  readonly openedAtMs: number;
  /** Chain in which the connection was verified whatever its age; undefined if in none. */
  readonly chain?: number;
}

/** Allowance before a connection closed; restored once the same process is recognized. */
interface SuspendedAllowance {
  readonly allowance: number;
  readonly answers: number;
}

/** Change of the allowance after a response or a peer's message. */
export interface AllowanceChange {
  /** Set if the instance was found cold; peers must be informed with an urgent heartbeat. */
  readonly coldReason?: ColdReason;
  /** True if the allowance was raised. */
  readonly isRaised: boolean;
  /** True if the allowance was halved because of slow responses. */
  readonly isHalved?: boolean;
}

const UNCHANGED: AllowanceChange = { isRaised: false };

/**
 * Limits how many of the slots that this entry VM holds at one instance may be used now.
 *
 * The sum over all entry VMs stays within the capacity of a just-started instance. Every slot has
 * one holder, so slots 0..coldSlots-1 together carry at most coldSlots requests. Any other slot is
 * used only on a verified connection, that is, one to a process for which the owner observed a
 * larger allowance. A connection is verified by its age: it was opened at least 1000 ms before the
 * response of the observation and is still open. The process that sent this response is then the
 * one at the other end, because a connection does not outlive its process, and a new process
 * listens only after the old one has ended. A connection to a process that started later cannot be
 * that old, so it carries only slots below coldSlots until the owner has warmed up the new process.
 * The owner counts and reports only responses on verified connections, starting with the first
 * connection that receives a response after a reset. The margin of 1000 ms covers responses that
 * were in transit when their process ended. An equal boot id also verifies a connection, because
 * each start of a server chooses a new one.
 */
export class InstanceAllowance {
  private readonly connections = new Map<ConnectionId, TrackedConnection>();

  private readonly usualLatency = UsualLatency.create();

  private allowance: number;

  private answers = 0;

  /** Local time of the observation that the allowance is based on. */
  private observedAtMs = -Infinity;

  /** Local time of the last reset; owner reports about an earlier time are ignored. */
  private resetAtMs = -Infinity;

  /** Boot id of the process that the allowance applies to, if it sends one. */
  private knownBootId: string | undefined;

  /**
   * Number of the current chain of verified connections; each restart of the count begins a new
   * one.
   */
  private chain = 0;

  private suspended: SuspendedAllowance | undefined;

  private isOwner = false;

  private constructor(
    private readonly clock: Clock,
    private readonly settings: AllowanceSettings,
  ) {
    this.allowance = this.coldAllowance;
  }

  /** Creates the allowance of a cold instance. */
  static create(clock: Clock, settings: AllowanceSettings): InstanceAllowance {
    return new InstanceAllowance(clock, settings);
  }

  /** Number of slots allowed now; reported in heartbeats. */
  get allowed(): number {
    return this.allowance;
  }

  /** Age of the observation that the allowance is based on; Infinity without one. */
  ageMs(): number {
    return this.clock.monotonicMs() - this.observedAtMs;
  }

  /**
   * Sets whether this entry VM is the settled owner. A new owner keeps the allowance that the
   * former owner reported only if it has a verified connection.
   */
  setOwner(isOwner: boolean): void {
    if (isOwner === this.isOwner) return;
    this.isOwner = isOwner;
    this.answers = 0;
    const hasVerifiedConnection = [...this.connections.values()].some((connection) =>
      this.isVerified(connection),
    );
    if (isOwner && !hasVerifiedConnection) this.reset();
  }

  /** Records a connection that was established at `openedAtMs` (monotonic). */
  recordOpened(connection: ConnectionId, openedAtMs: number): void {
    this.connections.set(connection, { openedAtMs });
  }

  /**
   * Records the end of a connection. The allowance falls to coldSlots until the process is
   * recognized again, by a later owner report or by a response on a verified connection. It is then
   * restored, because servers close idle connections although the instance is warm.
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

  /** Removes a connection that this entry VM closed itself; this is no evidence of a restart. */
  forgetConnection(connection: ConnectionId): void {
    this.connections.delete(connection);
  }

  /** Updates the allowance after a response on a connection. */
  recordResponse(connection: ConnectionId, response: InstanceResponse): AllowanceChange {
    const tracked = this.connections.get(connection);
    if (!tracked) return UNCHANGED;
    const latencyClass = this.classifyLatency(tracked, response);
    const coldReason = this.findColdReason(response);
    if (coldReason) return this.handleCold(connection, response, coldReason);
    if (latencyClass === 'slow-series') return this.halveAllowance();
    this.verifyConnection(connection, tracked, response);
    if (!this.isVerified(this.connections.get(connection)!)) return UNCHANGED;
    this.knownBootId = response.bootId ?? this.knownBootId;
    const formerAllowance = this.allowance;
    this.restoreSuspended();
    if (this.isOwner) this.recordObservation(latencyClass === 'normal' && !response.isProbe);
    return { isRaised: this.allowance > formerAllowance };
  }

  /**
   * Applies the owner's report from the response to a heartbeat; the owner itself ignores it. A
   * lower allowance is applied even if it seems older, since its estimated time varies with the
   * transit.
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
   * Applies a peer's message that the instance was cold at `atMs` (local time of receipt minus the
   * reported age). Further messages about the same event have no effect.
   */
  recordPeerColdReport(atMs: number): AllowanceChange {
    if (atMs <= this.resetAtMs + PEER_COLD_TOLERANCE_MS) return UNCHANGED;
    const wasRaised = this.isRaisedOrSuspended();
    this.reset();
    return wasRaised ? { coldReason: 'peer-report', isRaised: false } : UNCHANGED;
  }

  /** Whether a request may use the slot on the connection; checked again just before it is sent. */
  mayUse(slot: number, connection: ConnectionId): boolean {
    const tracked = this.connections.get(connection);
    if (!tracked) return false;
    if (slot < this.coldAllowance) return true;
    return slot < this.allowance && this.isVerified(tracked);
  }

  /** Filters the held slots by whether they may be used on the connection. */
  usableSlots(heldSlots: readonly number[], connection: ConnectionId): number[] {
    return heldSlots.filter((slot) => this.mayUse(slot, connection));
  }

  private get coldAllowance(): number {
    return Math.min(this.settings.coldSlots, this.settings.slots);
  }

  private isRaisedOrSuspended(): boolean {
    return this.allowance > this.coldAllowance || this.suspended !== undefined;
  }

  /** Whether the connection certainly leads to the process that the allowance applies to. */
  private isVerified(tracked: TrackedConnection): boolean {
    if (tracked.chain === this.chain) return true;
    return tracked.openedAtMs + CONNECTION_AGE_MARGIN_MS <= this.observedAtMs;
  }

  private classifyLatency(tracked: TrackedConnection, response: InstanceResponse): LatencyClass {
    if (response.isProbe) return 'normal';
    const isWarm = this.allowance >= this.settings.slots && this.isVerified(tracked);
    return this.usualLatency.recordLatency(response.latencyMs, isWarm);
  }

  private findColdReason(response: InstanceResponse): ColdReason | undefined {
    if (response.isCold) return 'cold-report';
    if (response.isOverloadRefusal) return 'overload-refusal';
    const bootId = response.bootId ?? this.knownBootId;
    if (this.knownBootId !== undefined && bootId !== this.knownBootId) return 'new-boot-id';
    return undefined;
  }

  /**
   * Halves the allowance. A cold instance stays slow, so that its allowance reaches coldSlots
   * within a few responses. A noisy neighbour slows many instances for a moment; treating all of
   * them as cold at once would leave only a fraction of the capacity for seconds.
   */
  private halveAllowance(): AllowanceChange {
    const wasRaised = this.isRaisedOrSuspended();
    this.allowance = Math.max(this.coldAllowance, Math.floor(this.allowance / 2));
    this.answers = 0;
    this.suspended = undefined;
    return wasRaised ? { isRaised: false, isHalved: true } : UNCHANGED;
  }

  private handleCold(
    connection: ConnectionId,
    response: InstanceResponse,
    coldReason: ColdReason,
  ): AllowanceChange {
    const wasRaised = this.isRaisedOrSuspended();
    this.reset();
    this.startChain(connection, response.bootId);
    return wasRaised ? { coldReason, isRaised: false } : UNCHANGED;
  }

  /** Adds the connection to the chain if its boot id is the known one, or begins a new chain. */
  private verifyConnection(
    connection: ConnectionId,
    tracked: TrackedConnection,
    response: InstanceResponse,
  ): void {
    if (this.isVerified(tracked)) return;
    if (this.knownBootId !== undefined && response.bootId === this.knownBootId) {
      this.connections.set(connection, { ...tracked, chain: this.chain });
      return;
    }
    const hasVerifiedConnection = [...this.connections.values()].some((candidate) =>
      this.isVerified(candidate),
    );
    if (this.isOwner && !hasVerifiedConnection) this.startChain(connection, response.bootId);
  }

  /**
   * Invalidates all verified connections. The owner starts to count at this connection, as after a
   * start of the instance; another member waits for the owner's next report.
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

  private recordObservation(isCounted: boolean): void {
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
