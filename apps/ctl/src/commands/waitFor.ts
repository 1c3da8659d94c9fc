import { Command, Option } from 'clipanion';

import { SystemClock, sleep } from '@bronzelift/common';
import type { Endpoint } from '@bronzelift/common';

import { ExitCode, WAIT_POLL_MS, WAIT_TIMEOUT_MS } from '../constants.js';
import { formatTable } from '../output.js';
import { createStatusTable, describeUnreachable, fetchStatuses } from '../statusReport.js';
import type { StatusRow } from '../statusReport.js';
import { parseCount } from '../utils.js';
import { AdminCommand } from './adminCommand.js';

const isInForce = (row: StatusRow, version: number): boolean =>
  row.report.ok && row.report.val.configurationVersion >= version;

/** Implements `wait-for <version> <address…>`, which polls until a version is in force. */
export class WaitForCommand extends AdminCommand {
  static override paths = [['wait-for']];

  static override usage = Command.Usage({
    description: 'Wait until a version or a later one is in force at every address',
  });

  version = Option.String();

  addresses = Option.Rest({ required: 1 });

  timeoutMs = Option.String('--timeout-ms', String(WAIT_TIMEOUT_MS), {
    description: 'Time after which the command fails, in milliseconds',
  });

  async execute(): Promise<ExitCode> {
    const output = this.createOutput();
    const version = parseCount(this.version);
    const timeoutMs = parseCount(this.timeoutMs);
    const endpoints = AdminCommand.parseAddresses(this.addresses, output);
    if (version === undefined || timeoutMs === undefined) {
      output.fail('expected whole numbers for the version and --timeout-ms');
      return ExitCode.usage;
    }
    if (endpoints === undefined) return ExitCode.usage;
    const rows = await WaitForCommand.poll(endpoints, version, timeoutMs);
    const rowsNotInForce = rows.filter((row) => !isInForce(row, version));
    if (rowsNotInForce.length === 0) {
      output.print(`version ${version} is in force at ${rows.length} entry daemons`);
      return ExitCode.accepted;
    }
    formatTable(createStatusTable(rowsNotInForce)).forEach((line) => output.print(line));
    describeUnreachable(rowsNotInForce).forEach((line) => output.warn(line));
    output.fail(`version ${version} is not in force at ${rowsNotInForce.length} of ${rows.length}`);
    return ExitCode.rejected;
  }

  private static async poll(
    endpoints: readonly Endpoint[],
    version: number,
    timeoutMs: number,
  ): Promise<StatusRow[]> {
    const clock = SystemClock.create();
    const endsAtMs = clock.monotonicMs() + timeoutMs;
    for (;;) {
      const rows = await fetchStatuses(endpoints);
      const isInForceEverywhere = rows.every((row) => isInForce(row, version));
      if (isInForceEverywhere || clock.monotonicMs() >= endsAtMs) return rows;
      await sleep(WAIT_POLL_MS);
    }
  }
}
