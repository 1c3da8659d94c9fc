import { readFile, writeFile } from 'node:fs/promises';

import { formatResult, isCorrect, parseLoadPlan, renderPlot, runLoad } from '@bronzelift/load-tool';
import { Command, Option } from 'clipanion';

/** Runs a plan and writes its result. */
export class RunCommand extends Command {
  static override paths = [['run']];

  static override usage = Command.Usage({
    description: 'Runs the load of a plan file (JSON).',
    details: 'Ends with 1 when an order was doubled or lost, or an answer was false.',
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
