/* eslint-disable max-classes-per-file -- the log model and its reader are always used together */
import fc from 'fast-check';

import { assertNever } from '@bronzelift/common';

import { INITIAL_STATE, LogFollower, encodeRecord, encodeState, foldRecord } from '../src/index.js';
import type { ControlState, LogPage, PageOutcome, RosterMember, Target } from '../src/index.js';

/** Seed of the property tests, taken from the environment variable SEED to reproduce a run. */
export const SEED = process.env.SEED === undefined ? {} : { seed: Number(process.env.SEED) };

/** In-memory log that keeps the records from `firstOffset` on. */
export class ModelLog {
  readonly payloads: unknown[] = [];

  firstOffset = 0;

  /** Fold of all appended records, expired ones included. */
  folded: ControlState;

  constructor(readonly logId: string) {
    this.folded = { ...INITIAL_STATE, logId };
  }

  append(payload: unknown): void {
    this.folded = foldRecord(this.folded, this.payloads.length, payload).state;
    this.payloads.push(payload);
  }

  expireBefore(offset: number): void {
    this.firstOffset = Math.max(this.firstOffset, Math.min(offset, this.payloads.length));
  }

  read(from: number, limit: number): LogPage {
    const start = Math.max(from, this.firstOffset);
    const records = this.payloads
      .slice(start, start + limit)
      .map((payload, index) => ({ offset: start + index, appendedAtMs: 0, payload }));
    const { logId, firstOffset } = this;
    return { logId, firstOffset, endOffset: this.payloads.length, records, sizeBytes: 0 };
  }
}

/** Reads a model log with a `LogFollower` and collects reported violations. */
export class ModelReader {
  readonly violations: string[] = [];

  readonly follower = LogFollower.create({
    onViolation: (name, detail) => this.violations.push(`${name}: ${detail}`),
  });

  /** Reads at most `pages` pages; stops early at the end of the log. */
  readPages(log: ModelLog, pages: number, pageSize: number): PageOutcome {
    let outcome: PageOutcome = 'behind';
    for (let page = 0; page < pages; page += 1) {
      outcome = this.follower.acceptPage(log.read(this.follower.nextRead.from, pageSize));
      if (outcome === 'caught-up' || outcome === 'no-base') return outcome;
    }
    return outcome;
  }
}

/** Creates a valid configuration text with one service. */
export const createText = (name: string): string => `[service ${name}]\n`;

/** Creates a roster member; `start` numbers the incarnations of a VM. */
export const createMember = (vm: number, start: number): RosterMember => ({
  vmId: `vm${vm}`,
  incarnation: `start${start}`,
  failureDomainId: `domain${vm % 2}`,
  callerEndpoint: { host: '127.0.0.1', port: 1000 + vm },
  peerEndpoint: { host: '127.0.0.1', port: 2000 + vm },
});

/** Step of a randomly generated log history. */
export type Step =
  | { readonly kind: 'apply'; readonly behind: number; readonly valid: boolean }
  | { readonly kind: 'drain'; readonly target: number; readonly out: boolean }
  | { readonly kind: 'join' | 'leave' | 'evict'; readonly vm: number; readonly start: number }
  | { readonly kind: 'garbage' }
  | { readonly kind: 'read'; readonly reader: number; readonly pages: number }
  /** Unless `stale`, the reader reads to the end before it publishes. */
  | { readonly kind: 'snapshot'; readonly reader: number; readonly stale: boolean }
  | { readonly kind: 'replace'; readonly reader: number }
  | { readonly kind: 'cut'; readonly percent: number };

const reader = fc.nat(2);
const vm = fc.nat(3);
const start = fc.nat(2);

/** Generates steps; snapshots are frequent enough for new readers to find one. */
export const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constant('apply' as const),
    behind: fc.constantFrom(0, 0, 0, 1, 2),
    valid: fc.constantFrom(true, true, true, false),
  }),
  fc.record({ kind: fc.constant('drain' as const), target: fc.nat(2), out: fc.boolean() }),
  fc.record({
    kind: fc.constantFrom('join' as const, 'leave' as const, 'evict' as const),
    vm,
    start,
  }),
  fc.constant({ kind: 'garbage' } as const),
  fc.record({ kind: fc.constant('read' as const), reader, pages: fc.integer({ min: 1, max: 12 }) }),
  fc.record({ kind: fc.constant('snapshot' as const), reader, stale: fc.boolean() }),
  fc.record({ kind: fc.constant('snapshot' as const), reader, stale: fc.boolean() }),
  fc.record({ kind: fc.constant('replace' as const), reader }),
  fc.record({
    kind: fc.constant('cut' as const),
    percent: fc.nat(60),
  }),
);

const TARGETS: readonly Target[] = ['domain:domain0', 'domain:domain1', 'vm:vm1'];

/** Creates the payload that a step appends; undefined for steps that append none themselves. */
export const createPayload = (step: Step, version: number, serial: number): unknown => {
  switch (step.kind) {
    case 'apply':
      return encodeRecord({
        kind: 'configuration-applied',
        applyId: `apply${serial}`,
        basedOnVersion: Math.max(0, version - step.behind),
        text: step.valid ? createText(`s${serial}`) : '[service',
      });
    case 'drain':
      return encodeRecord({
        kind: step.out ? 'target-taken-out' : 'target-brought-back',
        target: TARGETS[step.target]!,
      });
    case 'join':
      return encodeRecord({ kind: 'member-joined', ...createMember(step.vm, step.start) });
    case 'leave':
    case 'evict': {
      const { vmId, incarnation } = createMember(step.vm, step.start);
      return step.kind === 'leave'
        ? encodeRecord({ kind: 'member-left', vmId, incarnation })
        : encodeRecord({ kind: 'member-evicted', vmId, incarnation, reason: 'silent' });
    }
    case 'garbage':
      return '{"kind":"state-snapshot","asOfOffset":0}';
    case 'read':
    case 'snapshot':
    case 'replace':
    case 'cut':
      return undefined;
    default:
      return assertNever(step);
  }
};

/** Executes a step on a log and its readers. */
export const runStep = (log: ModelLog, readers: ModelReader[], step: Step): void => {
  const serial = log.payloads.length;
  switch (step.kind) {
    case 'read':
      readers[step.reader]!.readPages(log, step.pages, 2);
      return;
    case 'snapshot': {
      const { follower } = readers[step.reader]!;
      if (!step.stale) readers[step.reader]!.readPages(log, log.payloads.length + 10, 2);
      // A reader without a base publishes one only after a delay; another test covers that.
      if (follower.foldedState !== undefined) log.append(follower.createSnapshot());
      return;
    }
    case 'replace':
      Object.assign(readers, { [step.reader]: new ModelReader() });
      return;
    case 'cut':
      log.expireBefore(Math.floor((step.percent / 100) * log.payloads.length));
      return;
    case 'apply':
    case 'drain':
    case 'join':
    case 'leave':
    case 'evict':
    case 'garbage':
      log.append(createPayload(step, log.folded.configurationVersion, serial));
      return;
    default:
      assertNever(step);
  }
};

/** Describes a state as text, to compare two states. */
export const describeState = (state: ControlState): string => encodeState(state);
