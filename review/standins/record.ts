/* eslint-disable n/no-sync -- a few small files, before and after the case */
import { writeFileSync } from 'node:fs';

import type { Sent } from './client.js';
import type { Run } from './instance.js';

/** Exit codes of a case. */
export const ExitCode = { held: 0, broken: 1, notRun: 2 } as const;

const EXIT_AFTER_MS = 115_000;

const LAG_CHECK_MS = 20;

/** A machine on which this process is held up for longer is too busy for a case. */
const MAX_LAG_MS = 400;

/** Whether the case runs with its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Events, requests and runs of a case, written to a file when it ends. */
export class CaseRecord {
  private readonly lines: string[] = [];

  private readonly startedAtMs = performance.now();

  private maxLagMs = 0;

  private constructor(private readonly path: string) {}

  /** Creates a record that `write` saves at a path. */
  static create(path: string): CaseRecord {
    return new CaseRecord(path);
  }

  /** Longest time for which this process was held up since `watchLag`. */
  get lagMs(): number {
    return this.maxLagMs;
  }

  /** Begins to measure for how long this process is held up. */
  watchLag(): void {
    let dueAtMs = performance.now() + LAG_CHECK_MS;
    setInterval(() => {
      this.maxLagMs = Math.max(this.maxLagMs, performance.now() - dueAtMs);
      dueAtMs = performance.now() + LAG_CHECK_MS;
    }, LAG_CHECK_MS).unref();
  }

  /** Records an event, and shows it on the terminal. */
  event(text: string, atMs = performance.now()): void {
    const line = `${this.formatTime(atMs)} ${text}`;
    this.lines.push(line);
    process.stdout.write(`${line}\n`);
  }

  /** Records a request with its answer. */
  sent({ requestId, path, lastByteAtMs, answer, cutAtMs }: Sent, note = ''): void {
    const result =
      answer === undefined
        ? `no answer, connection ended at ${cutAtMs === undefined ? '-' : this.formatTime(cutAtMs)}`
        : `answered ${answer.status} at ${this.formatTime(answer.atMs)}`;
    this.lines.push(`${this.formatTime(lastByteAtMs)} sent ${requestId} ${path}: ${result}${note}`);
  }

  /** Records a run of a request at an instance. */
  run({ requestId, instanceId, atMs, endedAtMs, wasDropped }: Run): void {
    const end = endedAtMs === undefined ? 'not ended' : `ended ${this.formatTime(endedAtMs)}`;
    const how = wasDropped ? ', its connection was closed before its answer' : '';
    this.lines.push(`${this.formatTime(atMs)} ran ${requestId} at ${instanceId}, ${end}${how}`);
  }

  /** Saves the record. */
  write(): void {
    writeFileSync(this.path, `${this.lines.join('\n')}\n`);
  }

  private formatTime(atMs: number): string {
    return `${((atMs - this.startedAtMs) / 1000).toFixed(3)}s`;
  }
}

/** Runs a case and exits with its code; a case that fails otherwise or takes too long did not run. */
export const runCase = (play: (record: CaseRecord) => Promise<boolean>): void => {
  const record = CaseRecord.create(process.argv[2] ?? 'record.txt');
  const end = (code: number): void => {
    record.write();
    // eslint-disable-next-line n/no-process-exit -- a late answer must not keep the process running
    process.exit(code);
  };
  // Ends by `exit`, so that the gateways are ended too.
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.once(signal, () => end(ExitCode.notRun));
  }
  setTimeout(() => {
    record.event('the case took too long');
    end(ExitCode.notRun);
  }, EXIT_AFTER_MS);
  play(record).then(
    (hasHeld) => {
      if (record.lagMs > MAX_LAG_MS) {
        record.event(`the machine is too busy: held up for ${Math.round(record.lagMs)} ms`);
        end(ExitCode.notRun);
        return;
      }
      record.event(hasHeld ? 'the rule held' : 'the rule was broken');
      end(hasHeld ? ExitCode.held : ExitCode.broken);
    },
    (error: unknown) => {
      record.event(`the case could not run: ${String(error)}`);
      end(ExitCode.notRun);
    },
  );
};
