import type { RandomSource } from '@bronzelift/common';

import { getFactorAt, findMaxFactor } from './rateProfile.js';
import type { RateStep, RequestKind, ServiceLoad } from './types.js';

/** A request that is due `atMs` after the start, regardless of the outcome of earlier requests. */
export interface Arrival {
  readonly atMs: number;
  readonly index: number;
  readonly service: ServiceLoad;
  readonly kind: RequestKind;
}

interface RequestStream {
  readonly service: ServiceLoad;
  readonly kind: RequestKind;
  readonly perSecond: number;
}

const createStreams = (services: readonly ServiceLoad[]): RequestStream[] =>
  services
    .flatMap((service): RequestStream[] => [
      { service, kind: 'lookup', perSecond: service.lookupsPerSecond },
      { service, kind: 'order', perSecond: service.ordersPerSecond },
    ])
    .filter(({ perSecond }) => perSecond > 0);

const pickStream = (
  streams: readonly RequestStream[],
  total: number,
  randomFraction: number,
): RequestStream => {
  let remaining = randomFraction * total;
  const picked = streams.find(({ perSecond }) => {
    remaining -= perSecond;
    return remaining < 0;
  });
  return picked ?? streams[streams.length - 1]!;
};

/** Generates Poisson arrivals whose rate follows the profile, by thinning the maximum rate. */
export const generateArrivals = function* generateArrivals(
  services: readonly ServiceLoad[],
  profile: readonly RateStep[],
  durationMs: number,
  random: RandomSource,
): Generator<Arrival> {
  const streams = createStreams(services);
  const total = streams.reduce((sum, { perSecond }) => sum + perSecond, 0);
  if (total === 0) return;
  const maxRateFactor = findMaxFactor(profile);
  const meanGapMs = 1000 / (total * maxRateFactor);
  let index = 0;
  let atMs = 0;
  for (;;) {
    atMs -= Math.log(1 - random.next()) * meanGapMs;
    if (atMs >= durationMs) return;
    if (random.next() * maxRateFactor >= getFactorAt(profile, atMs)) continue;
    const { service, kind } = pickStream(streams, total, random.next());
    yield { atMs, index, service, kind };
    index += 1;
  }
};
