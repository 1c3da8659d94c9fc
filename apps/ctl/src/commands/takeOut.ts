import { Command } from 'clipanion';

import type { ExitCode } from '../constants.js';
import { DrainCommand } from './drainCommand.js';

/** Implements `take-out <target>`, which takes a target out of service. */
export class TakeOutCommand extends DrainCommand {
  static override paths = [['take-out']];

  static override usage = Command.Usage({
    description: 'Take a failure domain or a VM out of service',
  });

  execute(): Promise<ExitCode> {
    return this.drain(true);
  }
}
