import { writeFile } from 'node:fs/promises';

import { renderPlot } from '@bronzelift/load-tool';
import { Command, Option } from 'clipanion';

import { readResult } from '../utils.js';

/** Plots a result. */
export class PlotCommand extends Command {
  static override paths = [['plot']];

  static override usage = Command.Usage({ description: 'Plots a result file as SVG.' });

  result = Option.String();

  out = Option.String();

  override async execute(): Promise<void> {
    await writeFile(this.out, renderPlot(await readResult(this.result)));
  }
}
