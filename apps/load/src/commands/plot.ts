import { writeFile } from 'node:fs/promises';

import { renderPlot } from '@bronzelift/load-tool';
import { Command, Option } from 'clipanion';

import { readResult } from '../utils.js';

/** Renders a result file as an SVG plot. */
export class PlotCommand extends Command {
  static override paths = [['plot']];

  static override usage = Command.Usage({ description: 'Renders a result file as an SVG plot.' });

  result = Option.String();

  out = Option.String();

  override async execute(): Promise<void> {
    await writeFile(this.out, renderPlot(await readResult(this.result)));
  }
}
