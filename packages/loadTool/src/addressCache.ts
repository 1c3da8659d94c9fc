import type { Agent } from 'node:http';

import type { Clock, Endpoint, RandomSource, ServiceName } from '@bronzelift/common';
import { CALLER_API_PREFIX, formatEndpoint, shuffle } from '@bronzelift/common';
import { z } from 'zod';

import { ADDRESSES_TIMEOUT_MS } from './constants.js';
import { sendRequest } from './httpClient.js';

const addressesSchema = z.object({
  addresses: z.array(z.object({ host: z.string(), port: z.number().int() })).min(1),
  keepForMs: z.number().nonnegative(),
  ticket: z.string(),
  ticketValidForMs: z.number().nonnegative(),
});

/** Entry VM addresses and the ticket for one service, cached until they expire. */
export interface CachedAddresses {
  /** In the order of the response, which lists the home of the ticket first. */
  readonly endpoints: readonly Endpoint[];
  readonly ticket: string;
  readonly expiresAtMs: number;
}

const parseAddresses = (body: string, nowMs: number): CachedAddresses | undefined => {
  try {
    const { addresses, keepForMs, ticket, ticketValidForMs } = addressesSchema.parse(
      JSON.parse(body),
    );
    const endpoints = addresses.map(({ host, port }) => ({ host, port }));
    return { endpoints, ticket, expiresAtMs: nowMs + Math.min(keepForMs, ticketValidForMs) };
  } catch {
    return undefined;
  }
};

/** Caches entry VM addresses per service for one caller and fetches them when they expire. */
export class AddressCache {
  private readonly cached = new Map<ServiceName, CachedAddresses>();

  private readonly pending = new Map<ServiceName, Promise<CachedAddresses | undefined>>();

  private constructor(
    private readonly entryEndpoints: readonly Endpoint[],
    private readonly agent: Agent,
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {}

  /** Creates an empty cache; the first request for addresses goes to one of `entryEndpoints`. */
  static create(
    entryEndpoints: readonly Endpoint[],
    agent: Agent,
    clock: Clock,
    random: RandomSource,
  ): AddressCache {
    return new AddressCache(entryEndpoints, agent, clock, random);
  }

  /** Returns cached or newly fetched addresses; undefined when no endpoint returned any. */
  async find(service: ServiceName): Promise<CachedAddresses | undefined> {
    const cachedAddresses = this.cached.get(service);
    if (
      cachedAddresses &&
      cachedAddresses.endpoints.length > 0 &&
      this.clock.monotonicMs() < cachedAddresses.expiresAtMs
    ) {
      return cachedAddresses;
    }
    const pending = this.pending.get(service);
    if (pending) return pending;
    const fetched = this.fetch(service, cachedAddresses).finally(() =>
      this.pending.delete(service),
    );
    this.pending.set(service, fetched);
    return fetched;
  }

  /** Removes an unreachable address from the cache; returns how many remain for the service. */
  drop(service: ServiceName, endpoint: Endpoint): number {
    const cachedAddresses = this.cached.get(service);
    if (!cachedAddresses) return 0;
    const dropped = formatEndpoint(endpoint);
    const endpoints = cachedAddresses.endpoints.filter(
      (other) => formatEndpoint(other) !== dropped,
    );
    this.cached.set(service, { ...cachedAddresses, endpoints });
    return endpoints.length;
  }

  private async fetch(
    service: ServiceName,
    cachedAddresses: CachedAddresses | undefined,
  ): Promise<CachedAddresses | undefined> {
    const candidates = shuffle(this.random, [
      ...this.entryEndpoints,
      ...(cachedAddresses?.endpoints ?? []),
    ]);
    for (const endpoint of candidates) {
      const attempt = await sendRequest({
        endpoint,
        method: 'GET',
        path: `${CALLER_API_PREFIX}/addresses?service=${encodeURIComponent(service)}`,
        headers: {},
        body: '',
        timeoutMs: ADDRESSES_TIMEOUT_MS,
        agent: this.agent,
      });
      if (attempt.kind !== 'answer' || attempt.status !== 200) continue;
      const found = parseAddresses(attempt.body, this.clock.monotonicMs());
      if (!found) continue;
      this.cached.set(service, found);
      return found;
    }
    return undefined;
  }
}
