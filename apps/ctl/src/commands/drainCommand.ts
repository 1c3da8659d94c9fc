import { Option } from 'clipanion';

import { ExitCode } from '../constants.js';
import { drainTarget, isTarget } from '../drainTarget.js';
import { ChangeCommand } from './changeCommand.js';

/** Command that takes a target out of service or brings it back. */
export abstract class DrainCommand extends ChangeCommand {
  target = Option.String();

  force = Option.Boolean('--force', false, {
    description: 'Accept a target that the configuration and the roster do not know',
  });

  protected async drain(takeOut: boolean): Promise<ExitCode> {
    const { target, force } = this;
    if (!isTarget(target)) {
      this.createOutput().fail(`expected domain:<id> or vm:<id>, found ${target}`);
      return ExitCode.usage;
    }
    return this.change((context) => drainTarget(context, target, takeOut, force));
  }
}
