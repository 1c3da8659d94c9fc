import { Option } from 'clipanion';

import type { ChangeContext } from '../applyConfiguration.js';
import { ExitCode, SETTLE_TIMEOUT_MS } from '../constants.js';
import { parseCount } from '../utils.js';
import { LogCommand } from './logCommand.js';

/** Command that appends a record and waits until it has read what the record did. */
export abstract class ChangeCommand extends LogCommand {
  settleTimeoutMs = Option.String('--settle-timeout-ms', String(SETTLE_TIMEOUT_MS), {
    description: 'Time to look for the change on the log, in milliseconds',
  });

  /** Runs an action that changes something. */
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
