import { Command } from 'clipanion';

import { createOutput } from '../output.js';
import type { Output } from '../output.js';

/** Command without access to the log. */
export abstract class OutputCommand extends Command {
  protected createOutput(): Output {
    return createOutput(this.context.stdout, this.context.stderr);
  }
}
