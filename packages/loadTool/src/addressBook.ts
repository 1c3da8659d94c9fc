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

/** Addresses of the system for one service, as long as the answer may be kept. */
export interface KnownAddresses {
  /** In the order of the answer; the home of the ticket comes first. */
  readonly endpoints: readonly Endpoint[];
  readonly ticket: string;
  readonly keepUntilMs: number;
}

const parseAddresses = (body: string, nowMs: number): KnownAddresses | undefined => {
  try {
    const { addresses, keepForMs, ticket, ticketValidForMs } = addressesSchema.parse(
      JSON.parse(body),
    );
    const endpoints = addresses.map(({ host, port }) => ({ host, port }));
    return { endpoints, ticket, keepUntilMs: nowMs + Math.min(keepForMs, ticketValidForMs) };
  } catch {
    return undefined;
  }
};

/** The addresses that one caller keeps. */
export class AddressBook {
  private readonly known = new Map<ServiceName, KnownAddresses>();

  private readonly pending = new Map<ServiceName, Promise<KnownAddresses | undefined>>();

  private constructor(
    private readonly entryEndpoints: readonly Endpoint[],
    private readonly agent: Agent,
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {}

  /** Creates an empty book; the entry endpoints are asked first. */
  static create(
    entryEndpoints: readonly Endpoint[],
    agent: Agent,
    clock: Clock,
    random: RandomSource,
  ): AddressBook {
    return new AddressBook(entryEndpoints, agent, clock, random);
  }

  /** Kept addresses, or new ones; undefined when no endpoint gave any. */
  async find(service: ServiceName): Promise<KnownAddresses | undefined> {
    const kept = this.known.get(service);
    if (kept && kept.endpoints.length > 0 && this.clock.monotonicMs() < kept.keepUntilMs) {
      return kept;
    }
    const pending = this.pending.get(service);
    if (pending) return pending;
    const fetched = this.fetch(service, kept).finally(() => this.pending.delete(service));
    this.pending.set(service, fetched);
    return fetched;
  }

  /** Drops an address that could not be reached; returns how many are left. */
  drop(service: ServiceName, endpoint: Endpoint): number {
    const kept = this.known.get(service);
    if (!kept) return 0;
    const dropped = formatEndpoint(endpoint);
    const endpoints = kept.endpoints.filter((other) => formatEndpoint(other) !== dropped);
    this.known.set(service, { ...kept, endpoints });
    return endpoints.length;
  }

  private async fetch(
    service: ServiceName,
    kept: KnownAddresses | undefined,
  ): Promise<KnownAddresses | undefined> {
    const candidates = shuffle(this.random, [...this.entryEndpoints, ...(kept?.endpoints ?? [])]);
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
      this.known.set(service, found);
      return found;
    }
    return undefined;
  }
}
