import { Command } from 'clipanion';

import { createOutput } from '../output.js';
import type { Output } from '../output.js';

/** Base of the commands that print results and errors. */
export abstract class OutputCommand extends Command {
  protected createOutput(): Output {
    return createOutput(this.context.stdout, this.context.stderr);
  }
}
