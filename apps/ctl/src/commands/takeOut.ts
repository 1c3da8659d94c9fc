import { Command } from 'clipanion';

import type { ExitCode } from '../constants.js';
import { DrainCommand } from './drainCommand.js';

/** `take-out <target>`. */
export class TakeOutCommand extends DrainCommand {
  static override paths = [['take-out']];

  static override usage = Command.Usage({
    description: 'Take a failure domain or a VM out of service',
  });

  execute(): Promise<ExitCode> {
    return this.drain(true);
  }
}
