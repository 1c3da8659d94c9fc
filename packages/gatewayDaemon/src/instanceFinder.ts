import { settlesWithin, sleep } from '@bronzelift/common';
import type { Clock, FailureDomainId, InstanceId, RandomSource } from '@bronzelift/common';
import { rankPlacements } from '@bronzelift/routing';
import type { PlacementEstimate, PlacementRequest } from '@bronzelift/routing';

import {
  MAX_HEALTH_AGE_MS,
  MAX_REPORT_AGE_MS,
  MAX_GOOD_SLOWDOWN,
  MAX_RESPONSE_AGE_MS,
  MIN_FREE_SLOTS,
  BETTER_PROBE_WAIT_MS,
  PROBE_WAIT_MS,
  PROBES_PER_SEARCH,
  RESERVED_SLOTS,
  RESERVE_UTILIZATION,
  SEARCH_PAUSE_MS,
} from './constants.js';
import type { InstanceRuntime } from './instanceRuntime.js';
import type { Prober } from './prober.js';
import type { ServiceRuntime } from './serviceRuntime.js';
import type { Route } from './types.js';

/** Dependencies of an InstanceFinder and the placement rules that it applies. */
export interface InstanceFinderOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly ownDomainId: FailureDomainId;
  readonly prober: Prober;
  /** Whether operators took a failure domain out of service. */
  readonly isDomainOut: (failureDomainId: FailureDomainId) => boolean;
  readonly isRegionAllowed: (failureDomainId: FailureDomainId, route: Route) => boolean;
}

/** The request that needs an instance, with its time limits. */
export interface InstanceSearch {
  readonly service: ServiceRuntime;
  readonly route: Route;
  /** Instances that this request was sent to before. */
  readonly excluded: ReadonlySet<InstanceId>;
  /** Monotonic time by which the latency objective requires a response. */
  readonly objectiveAtMs: number;
  /** Monotonic time after which the caller no longer waits. */
  readonly deadlineAtMs: number;
  /** Monotonic time until which the search continues if no good instance is found. */
  readonly searchUntilMs: number;
  /** Whether a slow instance is accepted if no good one is found. */
  readonly acceptsSlow: boolean;
  readonly signal: AbortSignal;
}

/** A selected instance with a reserved slot, and the estimates that led to its selection. */
export interface FoundInstance {
  readonly instance: InstanceRuntime;
  /** Releases the slot; must be called once the request has ended or when it is not sent. */
  readonly release: () => void;
  readonly expectedMs: number;
  readonly reportAgeMs: number;
  readonly slowdown: number;
  readonly freeSlots: number;
  readonly reason: 'fresh-report' | 'probed' | 'estimate' | 'slow' | 'silent-trial';
}

/** Instances that were probed for a search. */
interface ProbedInstances {
  readonly probedInstances: readonly InstanceRuntime[];
  /** Whether a probe was skipped because this VM's share of the probe budget is used up. */
  readonly isOverBudget: boolean;
}

/** Why no instance was found for a request. */
export type SearchFailure = 'no-instance' | 'overloaded' | 'caller-gone';

/**
 * Finds an instance that has a free slot and low slowdown. On shared hosts the slowdown of an
 * instance changes several times a second, so a selection needs a recent load report: from a
 * response that has just arrived, or else from the first good response to a few probes.
 */
export class InstanceFinder {
  private constructor(private readonly options: InstanceFinderOptions) {}

  static create(options: InstanceFinderOptions): InstanceFinder {
    return new InstanceFinder(options);
  }

  /** Searches until a good instance is found or the search time is used up. */
  async find(search: InstanceSearch): Promise<FoundInstance | SearchFailure> {
    for (;;) {
      if (search.signal.aborted) return 'caller-gone';
      const usable = this.listUsableInstances(search, 'after-probe');
      if (usable.length === 0 && this.now() + this.calculateWaitMs(search) >= search.searchUntilMs)
        return this.selectSlowOrFail(search);
      const ranked = this.rankInstances(search, usable);
      const fresh = ranked.find((estimate) => this.isGoodAndFresh(search, estimate));
      if (fresh !== undefined) return this.reserve(search, fresh, 'fresh-report');
      const { probedInstances, isOverBudget } = await this.probeUntilGood(search, ranked);
      if (search.signal.aborted) return 'caller-gone';
      // Selects only after the probes: other searches may have reserved the slots meanwhile, and
      // registrations may have changed.
      const probed = this.findBestFresh(search, probedInstances);
      if (probed !== undefined && this.isStillUsable(search, probed)) {
        return this.reserve(search, probed, 'probed');
      }
      const estimated = isOverBudget ? this.selectFromKnownReports(search) : undefined;
      if (estimated !== undefined) return this.reserve(search, estimated, 'estimate');
      if (this.now() + SEARCH_PAUSE_MS >= search.searchUntilMs)
        return this.selectSlowOrFail(search);
      await sleep(SEARCH_PAUSE_MS, search.signal);
    }
  }

  /** Selects by the last known load reports when this VM's share of the probe budget is used up. */
  private selectFromKnownReports(search: InstanceSearch): PlacementEstimate | undefined {
    const responding = this.listUsableInstances(search, 'without-probe').filter(
      ({ responseAgeMs }) => responseAgeMs <= MAX_RESPONSE_AGE_MS,
    );
    const ranked = this.rankInstances(search, responding);
    return ranked.find((estimate) => this.isGood(search, estimate));
  }

  /**
   * Ends a search without a good instance: selects a slow one that can still respond in time, or
   * fails.
   */
  private selectSlowOrFail(search: InstanceSearch): FoundInstance | SearchFailure {
    const usable = this.listUsableInstances(search, 'without-probe');
    if (usable.length === 0) return 'no-instance';
    const leftMs = search.deadlineAtMs - this.now();
    const inTime = this.rankInstances(search, usable).filter(
      ({ freeSlots, finishMs }) => freeSlots >= MIN_FREE_SLOTS && finishMs < leftMs,
    );
    const [best] = inTime;
    if (best === undefined) return 'overloaded';
    if (usable.some(({ responseAgeMs }) => responseAgeMs <= MAX_RESPONSE_AGE_MS)) {
      return search.acceptsSlow ? this.reserve(search, best, 'slow') : 'overloaded';
    }
    // If no instance responds, only a few requests are sent, in case only the health path is
    // failing.
    if (!search.service.tryTakeSilentTrial()) return 'overloaded';
    return this.reserve(search, best, 'silent-trial');
  }

  /** Instances that the registrations, the operators and the route allow for the request. */
  private listAllowedInstances({ service, route, excluded }: InstanceSearch): InstanceRuntime[] {
    return [...service.instances].filter(
      ({ record, id, isReplaced, isLeaving }) =>
        !isLeaving &&
        !isReplaced &&
        !excluded.has(id) &&
        !this.options.isDomainOut(record.failureDomainId) &&
        this.options.isRegionAllowed(record.failureDomainId, route),
    );
  }

  /** Time until the limits of any allowed instance accept the request; Infinity if none will. */
  private calculateWaitMs(search: InstanceSearch): number {
    const waitsMs = this.listAllowedInstances(search).map((instance) =>
      search.service.calculateWaitMs(instance),
    );
    return Math.min(...waitsMs);
  }

  /**
   * Instances that may receive the request now, without ejected ones if possible. Their limits have
   * to allow the request, and the probe before it if one is needed.
   */
  private listUsableInstances(
    search: InstanceSearch,
    use: 'after-probe' | 'without-probe',
  ): InstanceRuntime[] {
    const { service, route } = search;
    const acceptingInstances = this.listAllowedInstances(search).filter((instance) => {
      const needsProbe = use === 'after-probe' && this.isOutdated(instance);
      return service.calculateWaitMs(instance, needsProbe ? 2 : 1) === 0;
    });
    const { selector } = service;
    const healthy = acceptingInstances.filter(
      ({ id }) => selector.isUsable(id) || (route.isIdempotent && selector.isTrialDue(id)),
    );
    return healthy.length > 0 ? healthy : acceptingInstances;
  }

  /** Whether the instance has to be probed before a request is sent to it. */
  private isOutdated({ report, healthAgeMs }: InstanceRuntime): boolean {
    const reportAtMs = report?.atMs ?? -Infinity;
    return healthAgeMs > MAX_HEALTH_AGE_MS || this.now() - reportAtMs >= MAX_REPORT_AGE_MS;
  }

  private rankInstances(
    search: InstanceSearch,
    instances: readonly InstanceRuntime[],
  ): PlacementEstimate[] {
    const candidates = instances.map((instance) => instance.toCandidate(this.options.ownDomainId));
    return rankPlacements(candidates, this.createPlacementNeed(search), this.options.random);
  }

  private createPlacementNeed({ service, route }: InstanceSearch): PlacementRequest {
    const isUrgent = route.priority <= service.topPriority;
    const isScarce = service.utilization > RESERVE_UTILIZATION;
    return {
      workMs: service.estimateWorkMs(route),
      meanSlowdown: service.meanSlowdown.value,
      reservedSlots: isScarce && !isUrgent ? RESERVED_SLOTS : 0,
      nowMs: this.now(),
    };
  }

  private isGoodAndFresh(search: InstanceSearch, estimate: PlacementEstimate): boolean {
    const { service } = search;
    const instance = service.find(estimate.candidate.instanceId);
    if (instance === undefined || instance.healthAgeMs > MAX_HEALTH_AGE_MS) return false;
    if (!service.reportsLoad) return estimate.freeSlots >= MIN_FREE_SLOTS;
    return estimate.reportAgeMs < MAX_REPORT_AGE_MS && this.isGood(search, estimate);
  }

  /**
   * Whether the instance has a free slot, and has low slowdown or is expected to finish in half the
   * time that is left until the objective.
   */
  private isGood({ objectiveAtMs }: InstanceSearch, estimate: PlacementEstimate): boolean {
    const { candidate, freeSlots, finishMs } = estimate;
    if (freeSlots < MIN_FREE_SLOTS) return false;
    const slowdown = (candidate.report?.slowdown ?? 1) * candidate.learnedSlowdown;
    return slowdown <= MAX_GOOD_SLOWDOWN || finishMs <= (objectiveAtMs - this.now()) / 2;
  }

  /** Probes the best-ranked instances until one of them is good or all have responded. */
  private async probeUntilGood(
    search: InstanceSearch,
    ranked: readonly PlacementEstimate[],
  ): Promise<ProbedInstances> {
    const { service } = search;
    const outdatedInstances = ranked
      .filter(({ reportAgeMs }) => reportAgeMs >= MAX_REPORT_AGE_MS)
      .flatMap(({ candidate }) => service.find(candidate.instanceId) ?? []);
    const limited = outdatedInstances.find(({ isLimitCheckDue }) => isLimitCheckDue);
    const ordered = limited === undefined ? outdatedInstances : [limited, ...outdatedInstances];
    const probedInstances = [...new Set(ordered)].slice(0, PROBES_PER_SEARCH);
    if (probedInstances.length === 0) return { probedInstances, isOverBudget: false };
    const goodInstanceFound = new AbortController();
    let isOverBudget = false;
    const probes = probedInstances.map(async (instance) => {
      const { kind } = await this.options.prober.probe(service, instance);
      if (kind === 'over-budget') isOverBudget = true;
      if (this.findBestFresh(search, [instance]) !== undefined) goodInstanceFound.abort();
    });
    const all = Promise.all(probes);
    await Promise.race([all, sleep(PROBE_WAIT_MS, goodInstanceFound.signal)]);
    // A probe response that is about to arrive may show an instance with more free slots.
    if (goodInstanceFound.signal.aborted) await settlesWithin(all, BETTER_PROBE_WAIT_MS);
    return { probedInstances, isOverBudget };
  }

  private findBestFresh(
    search: InstanceSearch,
    probedInstances: readonly InstanceRuntime[],
  ): PlacementEstimate | undefined {
    return this.rankInstances(search, probedInstances).find((estimate) =>
      this.isGoodAndFresh(search, estimate),
    );
  }

  private isStillUsable(search: InstanceSearch, { candidate }: PlacementEstimate): boolean {
    return this.listUsableInstances(search, 'without-probe').some(
      ({ id }) => id === candidate.instanceId,
    );
  }

  /**
   * Reserves a slot of the selected instance. There is no await between the selection and the
   * reservation, so that no other search can select the same slot.
   */
  // eslint-disable-next-line class-methods-use-this -- placed next to its callers
  private reserve(
    { service }: InstanceSearch,
    estimate: PlacementEstimate,
    reason: FoundInstance['reason'],
  ): FoundInstance {
    const instance = service.find(estimate.candidate.instanceId)!;
    return {
      instance,
      release: service.beginRequest(instance),
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
