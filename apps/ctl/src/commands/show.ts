import { Command, Option } from 'clipanion';

import { formatEndpoint } from '@bronzelift/common';
import type { ControlState } from '@bronzelift/control-log';

import { ExitCode } from '../constants.js';
import { formatTable } from '../output.js';
import { LogCommand } from './logCommand.js';

const describeState = (state: ControlState): string[] => [
  `configuration version: ${state.configurationVersion} (apply ${state.applyId || '-'})`,
  `taken out:             ${state.takenOut.join(', ') || 'nothing'} (drain revision ${state.drainRevision})`,
  `roster:                ${state.members.length} members (epoch ${state.epoch})`,
  `log:                   ${state.logId}, read up to offset ${state.nextOffset}`,
];

const createRosterTable = (state: ControlState): string[][] => [
  ['VM', 'INCARNATION', 'DOMAIN', 'CALLERS', 'PEERS'],
  ...state.members.map((member) => [
    member.vmId,
    member.incarnation,
    member.failureDomainId,
    formatEndpoint(member.callerEndpoint),
    formatEndpoint(member.peerEndpoint),
  ]),
];

/** Implements `show`, which prints the state at the end of the log. */
export class ShowCommand extends LogCommand {
  static override paths = [['show']];

  static override usage = Command.Usage({ description: 'Show the state in force on the log' });

  text = Option.Boolean('--text', false, {
    description: 'Print only the text of the configuration in force',
  });

  async execute(): Promise<ExitCode> {
    return this.withLog(async ({ session, output }) => {
      const state = await session.readState();
      if (state.err) {
        output.fail(state.val);
        return ExitCode.rejected;
      }
      if (this.text) {
        this.context.stdout.write(state.val.configurationText);
        return ExitCode.accepted;
      }
      describeState(state.val).forEach((line) => output.print(line));
      if (state.val.members.length > 0) {
        formatTable(createRosterTable(state.val)).forEach((line) => output.print(line));
      }
      return ExitCode.accepted;
    });
  }
}
