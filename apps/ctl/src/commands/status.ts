import { Command, Option } from 'clipanion';

import { ExitCode } from '../constants.js';
import { formatTable } from '../output.js';
import { createStatusTable, describeUnreachable, fetchStatuses } from '../statusReport.js';
import { AdminCommand } from './adminCommand.js';

/** Implements `status <address…>`, which prints a table of the entry daemons. */
export class StatusCommand extends AdminCommand {
  static override paths = [['status']];

  static override usage = Command.Usage({
    description: 'Show the version in force at each entry daemon',
  });

  addresses = Option.Rest({ required: 1 });

  async execute(): Promise<ExitCode> {
    const output = this.createOutput();
    const endpoints = AdminCommand.parseAddresses(this.addresses, output);
    if (endpoints === undefined) return ExitCode.usage;
    const rows = await fetchStatuses(endpoints);
    formatTable(createStatusTable(rows)).forEach((line) => output.print(line));
    describeUnreachable(rows).forEach((line) => output.warn(line));
    return rows.every((row) => row.report.ok) ? ExitCode.accepted : ExitCode.rejected;
  }
}
