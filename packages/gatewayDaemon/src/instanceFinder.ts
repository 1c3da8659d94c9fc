import { settlesWithin, sleep } from '@bronzelift/common';
import type { Clock, FailureDomainId, InstanceId, RandomSource } from '@bronzelift/common';
import { rankPlacements } from '@bronzelift/routing';
import type { PlacementEstimate, PlacementNeed } from '@bronzelift/routing';

import {
  COLD_CHECK_MS,
  FRESH_REPORT_MS,
  GOOD_SLOWDOWN,
  MAX_SILENT_MS,
  MIN_FREE_SLOTS,
  PROBE_SETTLE_MS,
  PROBE_TIMEOUT_MS,
  PROBE_WIDTH,
  RESERVED_SLOTS,
  RESERVE_UTILIZATION,
  SEARCH_PAUSE_MS,
} from './constants.js';
import type { InstanceRuntime } from './instanceRuntime.js';
import type { Prober } from './prober.js';
import type { ServiceRuntime } from './serviceRuntime.js';
import type { Route } from './types.js';

/** Parameters of the search for instances. */
export interface InstanceFinderOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly ownDomainId: FailureDomainId;
  readonly prober: Prober;
  /** Whether operators took a failure domain out of service. */
  readonly isDomainOut: (failureDomainId: FailureDomainId) => boolean;
  readonly isRegionAllowed: (failureDomainId: FailureDomainId, route: Route) => boolean;
}

/** A search for one request. */
export interface InstanceSearch {
  readonly service: ServiceRuntime;
  readonly route: Route;
  /** Instances that this request was sent to already. */
  readonly excluded: ReadonlySet<InstanceId>;
  /** Monotonic time by which an answer has its full worth. */
  readonly objectiveAtMs: number;
  /** Monotonic time by which an answer is needed at all. */
  readonly deadlineAtMs: number;
  /** Monotonic time until which the request waits for a good instance. */
  readonly holdUntilMs: number;
  /** Whether a slow instance is taken when the search has found no good one. */
  readonly acceptsSlow: boolean;
  readonly signal: AbortSignal;
}

/** A chosen instance, with a place reserved there, and what the choice rests on. */
export interface FoundInstance {
  readonly instance: InstanceRuntime;
  /** Gives the place back; to be called once the request has ended or is not sent after all. */
  readonly release: () => void;
  readonly expectedMs: number;
  readonly reportAgeMs: number;
  readonly slowdown: number;
  readonly freeSlots: number;
  readonly reason: 'fresh-report' | 'probed' | 'estimate' | 'slow' | 'silent-trial';
}

/** Instances whose probe answers a search waited for. */
interface ProbedInstances {
  readonly asked: readonly InstanceRuntime[];
  /** Whether a probe was left out because this VM's share of the probes is spent. */
  readonly isOverBudget: boolean;
}

/** Why a search found nothing. */
export type SearchMiss = 'no-instance' | 'overloaded' | 'caller-gone';

/**
 * Finds an instance with a free slot at good pace. On shared hosts the pace of an instance changes
 * several times a second, so that a choice rests on a report of the last moment: the load in a
 * response that has just arrived, or else the first good answer to a few probes.
 */
export class InstanceFinder {
  private constructor(private readonly options: InstanceFinderOptions) {}

  /** Creates a finder. */
  static create(options: InstanceFinderOptions): InstanceFinder {
    return new InstanceFinder(options);
  }

  /** Searches until a good instance is found or the request has waited long enough. */
  async find(search: InstanceSearch): Promise<FoundInstance | SearchMiss> {
    for (;;) {
      if (search.signal.aborted) return 'caller-gone';
      const usable = this.usableInstances(search);
      const known = this.rank(search, usable);
      const fresh = known.find((estimate) => this.isGoodNow(search, estimate));
      if (fresh !== undefined) return this.reserve(search, fresh, 'fresh-report');
      const { asked, isOverBudget } = await this.probeUntilGood(search, known);
      if (search.signal.aborted) return 'caller-gone';
      // Judged only here: other searches may have taken the places meanwhile, and registrations
      // may have changed.
      const probed = this.bestOf(search, asked);
      if (probed !== undefined && this.isStillUsable(search, probed)) {
        return this.reserve(search, probed, 'probed');
      }
      const estimated = isOverBudget ? this.bestEstimate(search) : undefined;
      if (estimated !== undefined) return this.reserve(search, estimated, 'estimate');
      if (this.now() + SEARCH_PAUSE_MS >= search.holdUntilMs) return this.conclude(search);
      await sleep(SEARCH_PAUSE_MS, search.signal);
    }
  }

  /** The choice without fresh knowledge, when this VM has spent its share of the probes. */
  private bestEstimate(search: InstanceSearch): PlacementEstimate | undefined {
    const answering = this.usableInstances(search).filter(
      ({ silentMs }) => silentMs <= MAX_SILENT_MS,
    );
    const ranked = this.rank(search, answering);
    return ranked.find((estimate) => this.isGood(search, estimate));
  }

  /** The end of a search: a slow instance that still answers in time, or a refusal. */
  private conclude(search: InstanceSearch): FoundInstance | SearchMiss {
    const usable = this.usableInstances(search);
    if (usable.length === 0) return 'no-instance';
    const leftMs = search.deadlineAtMs - this.now();
    const inTime = this.rank(search, usable).filter(
      ({ freeSlots, finishMs }) => freeSlots >= MIN_FREE_SLOTS && finishMs < leftMs,
    );
    const [best] = inTime;
    if (best === undefined) return 'overloaded';
    if (usable.some(({ silentMs }) => silentMs <= MAX_SILENT_MS)) {
      return search.acceptsSlow ? this.reserve(search, best, 'slow') : 'overloaded';
    }
    // Without any answer only a few requests try: a health path may be silent by itself.
    if (!search.service.takeSilentTrial()) return 'overloaded';
    return this.reserve(search, best, 'silent-trial');
  }

  /** Instances that may receive the request at all. */
  private usableInstances(search: InstanceSearch): InstanceRuntime[] {
    const { service, route, excluded } = search;
    const allowed = [...service.instances].filter(
      ({ record, id, isReplaced }) =>
        !record.isDraining &&
        !isReplaced &&
        !excluded.has(id) &&
        !this.options.isDomainOut(record.failureDomainId) &&
        this.options.isRegionAllowed(record.failureDomainId, route),
    );
    const open = allowed.filter((instance) => instance.isOpen(service.coldLimit(instance)));
    const { selector } = service;
    const sound = open.filter(
      ({ id }) => selector.isUsable(id) || (route.isIdempotent && selector.isTrialDue(id)),
    );
    return sound.length > 0 ? sound : open;
  }

  private rank(search: InstanceSearch, instances: readonly InstanceRuntime[]): PlacementEstimate[] {
    const candidates = instances.map((instance) => instance.toCandidate(this.options.ownDomainId));
    return rankPlacements(candidates, this.need(search), this.options.random);
  }

  private need({ service, route }: InstanceSearch): PlacementNeed {
    const isUrgent = route.priority <= service.topPriority;
    const isScarce = service.utilization > RESERVE_UTILIZATION;
    return {
      workMs: service.workMs(route),
      usualSlowdown: service.usualSlowdown.value,
      reservedSlots: isScarce && !isUrgent ? RESERVED_SLOTS : 0,
      nowMs: this.now(),
    };
  }

  private isGoodNow(search: InstanceSearch, estimate: PlacementEstimate): boolean {
    const { service } = search;
    const instance = service.find(estimate.candidate.instanceId);
    if (instance === undefined || instance.healthAgeMs > COLD_CHECK_MS) return false;
    if (!service.statesLoad) return estimate.freeSlots >= MIN_FREE_SLOTS;
    return estimate.reportAgeMs < FRESH_REPORT_MS && this.isGood(search, estimate);
  }

  /** Whether an estimate promises an answer at usual pace, or one within the objective. */
  private isGood({ objectiveAtMs }: InstanceSearch, estimate: PlacementEstimate): boolean {
    const { candidate, freeSlots, finishMs } = estimate;
    if (freeSlots < MIN_FREE_SLOTS) return false;
    const slowdown = (candidate.report?.slowdown ?? 1) * candidate.speedFactor;
    return slowdown <= GOOD_SLOWDOWN || finishMs <= (objectiveAtMs - this.now()) / 2;
  }

  /** Probes the most promising instances until one is good, or all have answered. */
  private async probeUntilGood(
    search: InstanceSearch,
    ranked: readonly PlacementEstimate[],
  ): Promise<ProbedInstances> {
    const { service } = search;
    const asked = ranked
      .filter(({ reportAgeMs }) => reportAgeMs >= FRESH_REPORT_MS)
      .slice(0, PROBE_WIDTH)
      .flatMap(({ candidate }) => service.find(candidate.instanceId) ?? []);
    if (asked.length === 0) return { asked, isOverBudget: false };
    const first = new AbortController();
    let isOverBudget = false;
    const probes = asked.map(async (instance) => {
      const { kind } = await this.options.prober.probe(service, instance);
      if (kind === 'over-budget') isOverBudget = true;
      if (this.bestOf(search, [instance]) !== undefined) first.abort();
    });
    const all = Promise.all(probes);
    await Promise.race([all, sleep(PROBE_TIMEOUT_MS, first.signal)]);
    // Another probe that is about to be answered may show an emptier instance.
    if (first.signal.aborted) await settlesWithin(all, PROBE_SETTLE_MS);
    return { asked, isOverBudget };
  }

  private bestOf(
    search: InstanceSearch,
    asked: readonly InstanceRuntime[],
  ): PlacementEstimate | undefined {
    return this.rank(search, asked).find((estimate) => this.isGoodNow(search, estimate));
  }

  private isStillUsable(search: InstanceSearch, { candidate }: PlacementEstimate): boolean {
    return this.usableInstances(search).some(({ id }) => id === candidate.instanceId);
  }

  /** Takes a place at the instance in the same step, before another search can choose it too. */
  // eslint-disable-next-line class-methods-use-this -- kept beside its only uses
  private reserve(
    { service }: InstanceSearch,
    estimate: PlacementEstimate,
    reason: FoundInstance['reason'],
  ): FoundInstance {
    const instance = service.find(estimate.candidate.instanceId)!;
    return {
      instance,
      release: instance.begin(service.coldLimit(instance)),
      expectedMs: estimate.finishMs,
      reportAgeMs: estimate.reportAgeMs,
      slowdown: instance.report?.slowdown ?? 1,
      freeSlots: estimate.freeSlots,
      reason,
    };
  }

  private now(): number {
    return this.options.clock.monotonicMs();
  }
}
