import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';

import { renderPlot } from '@bronzelift/load-tool';
import { Command, Option, UsageError } from 'clipanion';

import { DEFAULT_SECONDS, POLICY_NAMES, QUICK_SECONDS, REPORT_SHAPES } from './constants.js';
import { formatReportTable } from './reportTable.js';
import { runScenario } from './runScenario.js';
import { SCENARIOS } from './scenarios.js';
import { renderServicePlot } from './servicePlot.js';
import type { PolicyName, ReportRow, RunOptions, Scenario } from './types.js';

const MS_PER_S = 1_000;
const QUICK_POLICIES: readonly PolicyName[] = ['bronzelift', 'least-outstanding'];

const parseList = <T extends string>(text: string, allowedItems: readonly T[], name: string): T[] =>
  text.split(',').map((item) => {
    const found = allowedItems.find((candidate) => candidate === item);
    if (found === undefined)
      throw new UsageError(`${name}: ${item} is not one of ${allowedItems.join(', ')}`);
    return found;
  });

const parsePositive = (text: string, name: string): number => {
  const value = Number(text);
  if (Number.isFinite(value) && value > 0) return value;
  throw new UsageError(`${name} must be a positive number`);
};

/** Runs load and failure scenarios with bronzelift and the baselines, and prints a comparison. */
export class ReportCommand extends Command {
  static override paths = [['report']];

  static override usage = Command.Usage({
    description: 'Measures scenarios with bronzelift and four baselines and prints a table.',
    details: 'Each run starts new processes on loopback; the runs are sequential.',
  });

  scenario = Option.String('--scenario', {
    description: 'Comma-separated names of scenarios; default: all',
  });

  policies = Option.String('--policies', {
    description: 'Comma-separated names: bronzelift and baselines; default: all',
  });

  deployment = Option.String('--deployment', 'mantelmaat', {
    description: 'mantelmaat or authority',
  });

  seed = Option.String('--seed', '1');

  seconds = Option.String('--seconds', { description: 'Duration of the measurement in each run' });

  quick = Option.Boolean('--quick', false, {
    description: 'Shorter runs with bronzelift and least-outstanding only',
  });

  json = Option.String('--json', { description: 'JSON file for all results' });

  plot = Option.String('--plot', { description: 'Directory for SVG plots' });

  override async execute(): Promise<number> {
    const scenarios = this.selectScenarios();
    const policies = this.selectPolicies();
    const rows: ReportRow[] = [];
    for (const scenario of scenarios) {
      for (const policy of policies) {
        if (scenario.policies && !scenario.policies.includes(policy)) continue;
        this.context.stderr.write(`running ${scenario.name} with ${policy} ...\n`);
        rows.push(await runScenario(scenario, this.createRunOptions(policy)));
        // Written after each run, so that the results survive an interruption.
        if (this.json) await writeFile(this.json, JSON.stringify(rows));
      }
    }
    this.context.stdout.write(`${formatReportTable(rows)}\n`);
    if (this.plot) await ReportCommand.writePlots(this.plot, rows);
    return 0;
  }

  private selectScenarios(): Scenario[] {
    if (!this.scenario) return [...SCENARIOS];
    const names = SCENARIOS.map(({ name }) => name);
    const chosenNames = parseList(this.scenario, names, '--scenario');
    return SCENARIOS.filter(({ name }) => chosenNames.includes(name));
  }

  private selectPolicies(): readonly PolicyName[] {
    if (this.policies) return parseList(this.policies, POLICY_NAMES, '--policies');
    return this.quick ? QUICK_POLICIES : POLICY_NAMES;
  }

  private createRunOptions(policy: PolicyName): RunOptions {
    const names = Object.keys(REPORT_SHAPES) as (keyof typeof REPORT_SHAPES)[];
    const [name] = parseList(this.deployment, names, '--deployment');
    const seconds = this.quick ? QUICK_SECONDS : DEFAULT_SECONDS;
    return {
      shape: REPORT_SHAPES[name!],
      policy,
      seed: parsePositive(this.seed, '--seed'),
      measuredMs: MS_PER_S * (this.seconds ? parsePositive(this.seconds, '--seconds') : seconds),
    };
  }

  private static async writePlots(directory: string, rows: readonly ReportRow[]): Promise<void> {
    await mkdir(directory, { recursive: true });
    const names = [...new Set(rows.map(({ scenario }) => scenario))];
    for (const name of names) {
      const scenarioRows = rows.filter(({ scenario }) => scenario === name);
      await writeFile(join(directory, `${name}.svg`), renderServicePlot(scenarioRows));
    }
    for (const { scenario, policy, result } of rows) {
      await writeFile(join(directory, `${scenario}-${policy}.svg`), renderPlot(result));
    }
  }
}
