import { readFile, writeFile } from 'node:fs/promises';

import { formatResult, isCorrect, parseLoadPlan, renderPlot, runLoad } from '@bronzelift/load-tool';
import { Command, Option } from 'clipanion';

/** Runs the load of a plan file, writes the result file and prints a table. */
export class RunCommand extends Command {
  static override paths = [['run']];

  static override usage = Command.Usage({
    description: 'Runs the load of a plan file (JSON).',
    details:
      'Exits with 1 when an order was doubled, lost or run despite outcome not-run, or a response was wrong.',
  });

  plan = Option.String();

  out = Option.String('--out', 'load-result.json');

  plot = Option.String('--plot', { description: 'SVG file for the plot' });

  override async execute(): Promise<number> {
    const result = await runLoad(parseLoadPlan(await readFile(this.plan, 'utf8')));
    await writeFile(this.out, `${JSON.stringify(result, null, 2)}\n`);
    if (this.plot) await writeFile(this.plot, renderPlot(result));
    this.context.stdout.write(`${formatResult(result)}\n`);
    return isCorrect(result) ? 0 : 1;
  }
}
