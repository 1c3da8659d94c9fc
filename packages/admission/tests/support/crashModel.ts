import { ManualClock, SeededRandom, randomInteger } from '@bronzelift/common';

import { CrashLedger } from '../../src/crashLedger.js';

/** Deployment and load of a simulation. */
export interface CrashModelOptions {
  readonly seed: number;
  readonly members: number;
  readonly instances: number;
  readonly requestsPerS: number;
  readonly workMs: number;
  /** Different requests that crash the instances that run them. */
  readonly crashingRequests: number;
  /** Callers that repeat each of them, at once after each answer. */
  readonly repeatingCallers: number;
  /** Share of the instances that end together, by another cause, after 3 s. */
  readonly failingShare: number;
  /** Share of the other requests that repeat one of a few. */
  readonly popularShare: number;
}

/** Result of a simulation. */
export interface CrashModelResult {
  /** Instances that ended because of a crashing request. */
  readonly lostInstances: number;
  /** Crashes more than 3 s after the third one of a request. */
  readonly lateCrashes: number;
  readonly requests: number;
  /** Requests that crash nothing and were refused as if they did. */
  readonly wronglyRefused: number;
}

interface Run {
  readonly fingerprint: string;
  readonly member: number;
  readonly instance: number;
  readonly endsAtMs: number;
  readonly isCrashing: boolean;
  readonly attempt: number;
  readonly isCallerRetry: boolean;
}

const DURATION_MS = 12_000;
const CRASH_AFTER_MS = 60;
const DOWN_MS = 4_000;
const MESSAGE_DELAY_MS = 3;
const REPEAT_DELAY_MS = 20;
const POPULAR_REQUESTS = 5;
const STABILITY_WINDOW_MS = 3_000;
const FAILURE_AT_MS = 3_000;
const CONFIRM_INTERVAL_MS = 1_000;

/** Simulates entry VMs that exchange evidence on requests, in steps of 1 ms. */
export class CrashModel {
  private readonly clock = ManualClock.create();

  private readonly random: SeededRandom;

  private readonly ledgers: CrashLedger[];

  private readonly upAtMs: number[];

  private readonly starts: number[];

  private runs: Run[] = [];

  private readonly scheduled: { readonly atMs: number; readonly act: () => void }[] = [];

  private readonly crashTimesMs = new Map<string, number[]>();

  private requests = 0;

  private wronglyRefused = 0;

  private constructor(private readonly options: CrashModelOptions) {
    this.random = SeededRandom.create(options.seed);
    this.ledgers = Array.from({ length: options.members }, () => CrashLedger.create(this.clock));
    this.upAtMs = new Array<number>(options.instances).fill(0);
    this.starts = new Array<number>(options.instances).fill(0);
  }

  static run(options: CrashModelOptions): CrashModelResult {
    return new CrashModel(options).simulate();
  }

  private simulate(): CrashModelResult {
    const { crashingRequests, repeatingCallers, failingShare, instances } = this.options;
    this.schedule(2_000, () => {
      for (let index = 0; index < crashingRequests * repeatingCallers; index += 1) {
        this.sendCrashing(`crashing-${index % crashingRequests}`);
      }
    });
    this.schedule(FAILURE_AT_MS, () => {
      for (let index = 0; index < failingShare * instances; index += 1) this.end(index);
    });
    for (let nowMs = 0; nowMs < DURATION_MS; nowMs += 1) this.step(nowMs);
    const times = [...this.crashTimesMs.values()];
    return {
      lostInstances: times.flat().length,
      lateCrashes: times.flatMap((list) =>
        list.filter((atMs) => atMs > (list[2] ?? Infinity) + STABILITY_WINDOW_MS),
      ).length,
      requests: this.requests,
      wronglyRefused: this.wronglyRefused,
    };
  }

  private get nowMs(): number {
    return this.clock.monotonicMs();
  }

  private schedule(delayMs: number, act: () => void): void {
    this.scheduled.push({ atMs: this.nowMs + delayMs, act });
  }

  private step(nowMs: number): void {
    this.clock.advance(1);
    const due = this.scheduled.filter(({ atMs }) => atMs <= this.nowMs);
    for (const item of due) this.scheduled.splice(this.scheduled.indexOf(item), 1);
    for (const { act } of due) act();
    if (this.random.next() < this.options.requestsPerS / 1_000) this.sendOther();
    const ended = this.runs.filter(({ endsAtMs }) => endsAtMs <= this.nowMs);
    for (const run of ended) this.finish(run);
    if (nowMs % CONFIRM_INTERVAL_MS === 0) for (const ledger of this.ledgers) ledger.confirmDue();
  }

  private sendOther(): void {
    this.requests += 1;
    const isPopular = this.random.next() < this.options.popularShare;
    const popular = `popular-${randomInteger(this.random, 0, POPULAR_REQUESTS - 1)}`;
    this.send(isPopular ? popular : `other-${this.requests}`, false, 1, false);
  }

  private sendCrashing(fingerprint: string): void {
    if (!this.send(fingerprint, true, 1, false)) {
      this.schedule(REPEAT_DELAY_MS, () => this.sendCrashing(fingerprint));
    }
  }

  /** Sends a request to any instance through any member; false if it was refused. */
  private send(
    fingerprint: string,
    isCrashing: boolean,
    attempt: number,
    isCallerRetry: boolean,
    member = randomInteger(this.random, 0, this.options.members - 1),
  ): boolean {
    if (this.ledgers[member]!.judge(fingerprint) === 'quarantined') {
      if (!isCrashing) this.wronglyRefused += 1;
      return false;
    }
    const up = this.upAtMs.flatMap((atMs, index) => (atMs <= this.nowMs ? [index] : []));
    if (up.length === 0) return false;
    const instance = up[randomInteger(this.random, 0, up.length - 1)]!;
    const workMs = isCrashing ? CRASH_AFTER_MS : this.options.workMs * (0.5 + this.random.next());
    const endsAtMs = this.nowMs + workMs;
    this.runs.push({
      fingerprint,
      member,
      instance,
      endsAtMs,
      isCrashing,
      attempt,
      isCallerRetry,
    });
    return true;
  }

  private finish(run: Run): void {
    if (!this.runs.includes(run)) return;
    if (!run.isCrashing) {
      this.runs.splice(this.runs.indexOf(run), 1);
      const ledger = this.ledgers[run.member]!;
      if (ledger.recordCompletion(run.fingerprint)) this.tellCompletion(run);
      return;
    }
    const times = this.crashTimesMs.get(run.fingerprint) ?? [];
    this.crashTimesMs.set(run.fingerprint, [...times, this.nowMs]);
    this.end(run.instance);
  }

  /** Ends an instance and all runs on it. */
  private end(instance: number): void {
    const lost = this.runs.filter((run) => run.instance === instance);
    this.runs = this.runs.filter((run) => run.instance !== instance);
    this.upAtMs[instance] = this.nowMs + DOWN_MS;
    const instanceProcess = `i-${instance} ${this.starts[instance]}`;
    this.starts[instance] = this.starts[instance]! + 1;
    for (const run of lost) {
      const report = { fingerprint: run.fingerprint, instanceProcess };
      const ledger = this.ledgers[run.member]!;
      if (ledger.recordCrash(report)) {
        this.schedule(MESSAGE_DELAY_MS, () => {
          for (const other of this.ledgers) {
            if (other.isCompleted(run.fingerprint)) this.tellCompletion(run);
            else other.recordCrash(report);
          }
        });
      }
      this.repeat(run, ledger);
    }
  }

  /** The member's retry, or the caller's at another member. */
  private repeat(run: Run, ledger: CrashLedger): void {
    const { fingerprint, isCrashing, attempt, member, isCallerRetry } = run;
    const mayRetry = attempt < 2 && ledger.judge(fingerprint) === 'unsuspected';
    if (mayRetry && this.send(fingerprint, isCrashing, attempt + 1, isCallerRetry, member)) return;
    if (isCrashing) this.schedule(REPEAT_DELAY_MS, () => this.sendCrashing(fingerprint));
    else if (!isCallerRetry) {
      this.schedule(REPEAT_DELAY_MS, () => this.send(fingerprint, false, 1, true));
    }
  }

  private tellCompletion({ fingerprint }: Run): void {
    this.schedule(MESSAGE_DELAY_MS, () => {
      for (const ledger of this.ledgers) ledger.recordCompletion(fingerprint);
    });
  }
}
