import type { Clock } from '@bronzelift/common';

import { InvariantName, KEPT_VIOLATIONS, LogComponent } from './constants.js';
import type { DecisionLog } from './decisionLog.js';
import type { Counter, Metrics } from './metrics.js';
import type { InvariantSnapshot, Violation } from './types.js';

const VIOLATIONS_METRIC = 'bronzelift_invariant_violations_total';

/** Parameters of the invariant assertions. */
export interface InvariantsOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
  /** Throw on a violation; for tests. Default false. */
  readonly isThrowing?: boolean;
}

/** Receives violations of the nine invariants. */
export class Invariants {
  private readonly latest: Violation[] = [];

  private readonly counts = Object.fromEntries(
    Object.values(InvariantName).map((name) => [name, 0]),
  ) as Record<InvariantName, number>;

  private readonly counters: ReadonlyMap<InvariantName, Counter>;

  private constructor(private readonly options: InvariantsOptions) {
    this.counters = new Map(
      Object.values(InvariantName).map((name) => [
        name,
        options.metrics.counter(VIOLATIONS_METRIC, { invariant: name }),
      ]),
    );
  }

  /** Creates the assertions; all counters start at zero and are listed from the start. */
  static create(options: InvariantsOptions): Invariants {
    return new Invariants(options);
  }

  /** Logs and counts a violation; throws it in tests that ask for that. */
  report(name: InvariantName, detail: string): void {
    const { clock, log, isThrowing } = this.options;
    this.counts[name] += 1;
    this.counters.get(name)!.increment();
    this.latest.push({ name, detail, atMs: clock.wallMs() });
    if (this.latest.length > KEPT_VIOLATIONS) this.latest.shift();
    log.error(LogComponent.invariant, 'invariant violated', { name, detail });
    if (isThrowing) throw new Error(`invariant ${name} violated: ${detail}`);
  }

  /** Counts and latest violations for the status page. */
  snapshot(): InvariantSnapshot {
    return { counts: { ...this.counts }, latest: [...this.latest] };
  }
}
