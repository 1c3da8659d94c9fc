import { formatEndpoint } from '@bronzelift/common';
import type { LocalDeployment } from '@bronzelift/local-deployment';
import { Cli, Command, Option } from 'clipanion';

import { DEMO_CASES } from './demoLoads.js';
import { formatDemoReport, isCorrect } from './demoReport.js';
import { ReportCommand } from './report/reportCommand.js';
import { runDemoCase, startDeployment } from './runDemo.js';

const MS_PER_S = 1_000;

/** Starts each demo deployment, sends load to it and prints a report. */
class DemoCommand extends Command {
  static override paths = [Command.Default];

  static override usage = Command.Usage({
    description:
      'Starts both small deployments on loopback, sends load to them and prints a report.',
    details: 'Exits with 0 only if no order was doubled or lost and no response was wrong.',
  });

  seed = Option.String('--seed', '1', { description: 'Seed of load and service times' });

  seconds = Option.String('--seconds', '6', { description: 'Duration of the load' });

  keepRunning = Option.Boolean('--keep-running', false, {
    description: 'Keep the deployments running until the process is interrupted',
  });

  override async execute(): Promise<number> {
    const options = { seed: Number(this.seed), durationMs: Number(this.seconds) * MS_PER_S };
    const deployments: LocalDeployment[] = [];
    try {
      let allCorrect = true;
      for (const demoCase of DEMO_CASES) {
        this.context.stdout.write(`starting ${demoCase.shape.name} ...\n`);
        const deployment = await startDeployment(demoCase, options.seed);
        deployments.push(deployment);
        const run = await runDemoCase(demoCase, deployment, options);
        this.context.stdout.write(`${formatDemoReport(run.result, run.violations)}\n`);
        allCorrect &&= isCorrect(run.result, run.violations);
        if (!this.keepRunning) await deployment.stop();
      }
      this.context.stdout.write(`${allCorrect ? 'correct' : 'NOT correct'}\n`);
      if (this.keepRunning) await this.waitForInterrupt(deployments);
      return allCorrect ? 0 : 1;
    } finally {
      await Promise.all(deployments.map((deployment) => deployment.stop()));
    }
  }

  private async waitForInterrupt(deployments: readonly LocalDeployment[]): Promise<void> {
    for (const { shape, entries, standins } of deployments) {
      this.context.stdout.write(`${shape.name}: log ${formatEndpoint(standins.log)}\n`);
      for (const { vmId, caller, admin } of entries) {
        this.context.stdout.write(
          `  ${vmId}: callers ${formatEndpoint(caller)}, admin ${formatEndpoint(admin)}\n`,
        );
      }
    }
    this.context.stdout.write('running; interrupt to stop\n');
    await new Promise<void>((resolve) => {
      process.once('SIGINT', resolve);
      process.once('SIGTERM', resolve);
    });
  }
}

const cli = new Cli({ binaryName: 'bronzelift-demo' });
cli.register(DemoCommand);
cli.register(ReportCommand);
await cli.runExit(process.argv.slice(2));
