import type { Clock, MemberId } from '@bronzelift/common';
import { createDeferred } from './deferred.js';
import { OrderRegistry } from './orderRegistry.js';

import type { Deferred } from './deferred.js';
import type {
  OrderAnswer,
  OrderKey,
  OrderRunner,
  PeerKnowledge,
  PeerOrderTransport,
  RegistryLimits,
  RunBasis,
  ViolationHandler,
} from './types.js';

/** What the tasks of this package need from the entry daemon. */
export interface OrderDependencies {
  readonly clock: Clock;
  readonly transport: PeerOrderTransport;
  readonly knowledge: PeerKnowledge;
  readonly runner: OrderRunner;
  readonly limits: RegistryLimits;
  readonly onViolation: ViolationHandler;
  /** Waits for a duration in milliseconds or until the signal; does not reject. */
  readonly sleep: (durationMs: number, signal?: AbortSignal) => Promise<unknown>;
}

/** Result of an attempt; the witness decides when it has taken the key over. */
export type AttemptResult = OrderAnswer | 'ask-witness';

/** An attempt in flight, which duplicates join. */
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

  /** Undefined until the attempt may be sent. */
  get basis(): RunBasis | undefined {
    return this.allowedBasis;
  }

  allow(basis: RunBasis): void {
    this.allowedBasis = basis;
  }
}

/** Everything that belongs to one incarnation of this member. */
export interface Generation {
  readonly member: MemberId;
  readonly registry: OrderRegistry;
  readonly attempts: Map<string, Attempt>;
  readonly abort: AbortController;
}

/** Creates the state of a new incarnation. */
export const createGeneration = (dependencies: OrderDependencies): Generation => ({
  member: dependencies.knowledge.own(),
  registry: OrderRegistry.create(dependencies),
  attempts: new Map(),
  abort: new AbortController(),
});
