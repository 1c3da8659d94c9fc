import { Command } from 'clipanion';

import type { ExitCode } from '../constants.js';
import { DrainCommand } from './drainCommand.js';

/** Implements `bring-back <target>`, which returns a target to service. */
export class BringBackCommand extends DrainCommand {
  static override paths = [['bring-back']];

  static override usage = Command.Usage({
    description: 'Bring a failure domain or a VM back into service',
  });

  execute(): Promise<ExitCode> {
    return this.drain(false);
  }
}
