import { Option } from 'clipanion';

import type { ChangeContext } from '../applyConfiguration.js';
import { ExitCode, SETTLE_TIMEOUT_MS } from '../constants.js';
import { parseCount } from '../utils.js';
import { LogCommand } from './logCommand.js';

/** Base of the commands that append a record and wait to read its effect from the log. */
export abstract class ChangeCommand extends LogCommand {
  settleTimeoutMs = Option.String('--settle-timeout-ms', String(SETTLE_TIMEOUT_MS), {
    description: 'Longest wait for the change to appear on the log, in milliseconds',
  });

  /** Runs an action with log access and the parsed `--settle-timeout-ms`. */
  protected async change(action: (context: ChangeContext) => Promise<ExitCode>): Promise<ExitCode> {
    const settleTimeoutMs = parseCount(this.settleTimeoutMs);
    if (settleTimeoutMs === undefined) {
      const expected = 'expected a whole number of milliseconds after --settle-timeout-ms';
      this.createOutput().fail(`${expected}, found ${this.settleTimeoutMs}`);
      return ExitCode.usage;
    }
    return this.withLog((context) => action({ ...context, settleTimeoutMs }));
  }
}
