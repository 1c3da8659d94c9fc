import type { Clock, MemberId } from '@bronzelift/common';
import { createDeferred } from './deferred.js';
import { OrderRegistry } from './orderRegistry.js';

import type { Deferred } from './deferred.js';
import type {
  OrderAnswer,
  OrderKey,
  OrderRunner,
  MembershipView,
  PeerOrderTransport,
  RegistryLimits,
  RunBasis,
  ViolationHandler,
} from './types.js';

/** Services that the entry daemon supplies to this package. */
export interface OrderDependencies {
  readonly clock: Clock;
  readonly transport: PeerOrderTransport;
  readonly knowledge: MembershipView;
  readonly runner: OrderRunner;
  readonly limits: RegistryLimits;
  readonly onViolation: ViolationHandler;
  /** Waits for a duration in milliseconds or until the signal is aborted; never rejects. */
  readonly sleep: (durationMs: number, signal?: AbortSignal) => Promise<unknown>;
}

/** Result of an attempt; `ask-witness` when the witness has taken over and decides. */
export type AttemptResult = OrderAnswer | 'ask-witness';

/** An attempt in flight; requests with the same key wait for its result. */
export class Attempt {
  readonly result: Deferred<AttemptResult> = createDeferred();

  private allowedBasis: RunBasis | undefined;

  private constructor(
    readonly key: OrderKey,
    readonly number: number,
  ) {}

  static create(key: OrderKey, number: number): Attempt {
    return new Attempt(key, number);
  }

  /** Basis on which sending was allowed; undefined before `allow` is called. */
  get basis(): RunBasis | undefined {
    return this.allowedBasis;
  }

  allow(basis: RunBasis): void {
    this.allowedBasis = basis;
  }
}

/** State of one incarnation of this member, discarded as a whole after an eviction. */
export interface IncarnationState {
  readonly member: MemberId;
  readonly registry: OrderRegistry;
  readonly attempts: Map<string, Attempt>;
  readonly abort: AbortController;
}

/** Creates empty state for the incarnation that this process has now. */
export const createIncarnationState = (dependencies: OrderDependencies): IncarnationState => ({
  member: dependencies.knowledge.ownMember(),
  registry: OrderRegistry.create(dependencies),
  attempts: new Map(),
  abort: new AbortController(),
});
