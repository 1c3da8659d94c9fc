import { Command, Option } from 'clipanion';

import { DEFAULT_SHAPE, Emulator, LOADS, POLICIES } from '@bronzelift/placement-emulator';
import type { RunResult } from '@bronzelift/placement-emulator';

import { formatMarkdownTable, summarizeRuns } from './utils.js';

const EXIT_CODE_BAD_OPTIONS = 2;
const MAX_SEEDS = 1_000;

const COLUMNS: readonly (keyof RunResult)[] = [
  'inTimeShare',
  'lateShare',
  'refusedShare',
  'failedShare',
  'worstCredit',
  'p50Ms',
  'p99Ms',
  'probesPerRequest',
];

/** Runs loads with placement policies on emulated instances and prints a table of results. */
export class ExperimentCommand extends Command {
  static override paths = [Command.Default];

  static override usage = Command.Usage({
    description: 'Compares placement policies on emulated instances.',
    details: `Prints the mean and the standard deviation of each result over the seeds. Loads: ${LOADS.map(({ name }) => name).join(', ')}. Policies: ${POLICIES.map(({ name }) => name).join(', ')}. Exits with 2 if an option is invalid.`,
  });

  load = Option.String('--load', { description: 'loads, separated by commas; default all' });

  policy = Option.String('--policy', { description: 'policies, separated by commas; default all' });

  seeds = Option.String('--seeds', '5', {
    description: 'number of runs per load and policy, with seeds from 1',
  });

  override async execute(): Promise<number> {
    const loads = this.select('--load', this.load, LOADS);
    const policies = this.select('--policy', this.policy, POLICIES);
    const seedCount = Number(this.seeds);
    const isCount = Number.isInteger(seedCount) && seedCount > 0 && seedCount <= MAX_SEEDS;
    if (!isCount)
      this.reportInvalidOption('--seeds', `a whole number from 1 to ${MAX_SEEDS}`, this.seeds);
    if (loads === undefined || policies === undefined || !isCount) return EXIT_CODE_BAD_OPTIONS;
    const rows = loads.flatMap((load) =>
      policies.map((policy) => {
        const runs = Array.from({ length: seedCount }, (_, index) =>
          Emulator.run(DEFAULT_SHAPE, load, policy, index + 1),
        );
        return [load.name, policy.name, ...summarizeRuns(runs, COLUMNS)];
      }),
    );
    this.context.stdout.write(formatMarkdownTable(['load', 'policy', ...COLUMNS], rows));
    return 0;
  }

  private select<T extends { readonly name: string }>(
    option: string,
    value: string | undefined,
    all: readonly T[],
  ): readonly T[] | undefined {
    if (value === undefined) return all;
    const names = value.split(',');
    const found = names.flatMap((name) => all.find((entry) => entry.name === name) ?? []);
    if (found.length === names.length) return found;
    this.reportInvalidOption(option, `names from ${all.map(({ name }) => name).join(', ')}`, value);
    return undefined;
  }

  private reportInvalidOption(option: string, expected: string, found: string): void {
    this.context.stderr.write(`${option}: expected ${expected}, found ${found}\n`);
  }
}
