import { Option } from 'clipanion';

import { ExitCode } from '../constants.js';
import { drainTarget, isTarget } from '../drainTarget.js';
import { ChangeCommand } from './changeCommand.js';

/** Base of `take-out` and `bring-back`, which differ only in the direction of the change. */
export abstract class DrainCommand extends ChangeCommand {
  target = Option.String();

  force = Option.Boolean('--force', false, {
    description: 'Accept a target that is neither in the configuration nor in the roster',
  });

  protected async drain(isTakeOut: boolean): Promise<ExitCode> {
    const { target, force } = this;
    if (!isTarget(target)) {
      this.createOutput().fail(`expected domain:<id> or vm:<id>, found ${target}`);
      return ExitCode.usage;
    }
    return this.change((context) => drainTarget(context, target, isTakeOut, force));
  }
}
