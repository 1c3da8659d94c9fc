import { describeError, sleep } from '@bronzelift/common';
import { LogComponent } from '@bronzelift/observability';
import type { DecisionLog } from '@bronzelift/observability';

import { HEARTBEAT_INTERVAL_MS, MEMBER_SEARCH_INTERVAL_MS, START_SETTLE_MS } from './constants.js';
import type { MemberTable } from './memberTable.js';
import type { ControlStore, GatewaySettings } from './types.js';

/** Dependencies of a MemberSearch. */
export interface MemberSearchOptions {
  readonly log: DecisionLog;
  readonly settings: GatewaySettings;
  readonly store: ControlStore;
  readonly members: MemberTable;
  readonly isReader: () => boolean;
  /** Sends a heartbeat to hosts that may be those of members. */
  readonly greet: (hosts: readonly string[]) => void;
  /** Aborted when the process stops. */
  readonly signal: AbortSignal;
}

/**
 * Keeps the hosts of all members in the store, and searches there for members that no seed knows.
 * Readers do so for all; a member that hears nobody does so for itself.
 */
export class MemberSearch {
  /** Aborted to search at once. */
  private pause = new AbortController();

  private constructor(private readonly options: MemberSearchOptions) {}

  static create(options: MemberSearchOptions): MemberSearch {
    return new MemberSearch(options);
  }

  /** Searches until the process stops. */
  async run(): Promise<void> {
    const { signal, members, isReader, log } = this.options;
    await sleep(START_SETTLE_MS, signal);
    while (!signal.aborted) {
      this.pause = new AbortController();
      const isAlone = members.live().length === 0;
      let pauseMs = isAlone ? HEARTBEAT_INTERVAL_MS : MEMBER_SEARCH_INTERVAL_MS;
      try {
        if (isReader() || isAlone) await this.search();
      } catch (error) {
        log.warn(LogComponent.member, 'member search failed', { error: describeError(error) });
        pauseMs = HEARTBEAT_INTERVAL_MS;
      }
      await sleep(pauseMs, AbortSignal.any([signal, this.pause.signal]));
    }
  }

  /** Searches at once, because the store was restored from a copy. */
  hurry(): void {
    this.pause.abort();
  }

  /** Greets the members in the store, and records there those that it lacks. */
  private async search(): Promise<void> {
    const { settings, store, log, members, greet } = this.options;
    const found = await store.readMembers();
    const knownHosts = new Set(members.live().map(({ host }) => host));
    const unknown = found.filter(({ host }) => host !== settings.host && !knownHosts.has(host));
    greet(unknown.map(({ host }) => host));
    const hostOfMember = new Map(found.map(({ vmId, host }) => [vmId, host]));
    const known = members.live().map(({ status, host }) => ({ vmId: status.vmId, host }));
    const missing = [{ vmId: settings.vmId, host: settings.host }, ...known].filter(
      ({ vmId, host }) => hostOfMember.get(vmId) !== host,
    );
    if (missing.length === 0) return;
    await store.recordMembers(missing);
    log.info(LogComponent.member, 'missing members recorded in the store', {
      members: missing.length,
      first: missing[0]!.vmId,
    });
  }
}
