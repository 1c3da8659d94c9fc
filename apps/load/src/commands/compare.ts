import { formatComparison } from '@bronzelift/load-tool';
import { Command, Option } from 'clipanion';

import { readResult } from '../utils.js';

/** Prints two result files as one table. */
export class CompareCommand extends Command {
  static override paths = [['compare']];

  static override usage = Command.Usage({ description: 'Prints two result files side by side.' });

  left = Option.String();

  right = Option.String();

  override async execute(): Promise<void> {
    const [left, right] = [await readResult(this.left), await readResult(this.right)];
    this.context.stdout.write(`${formatComparison(left, right)}\n`);
  }
}
