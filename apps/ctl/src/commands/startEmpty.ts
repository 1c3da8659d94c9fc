import { Command } from 'clipanion';

import { ExitCode } from '../constants.js';
import { LogCommand } from './logCommand.js';

/** Implements `start-empty`, which appends an empty state to a log without a base. */
export class StartEmptyCommand extends LogCommand {
  static override paths = [['start-empty']];

  static override usage = Command.Usage({
    description: 'Restart with an empty state on a log whose state is lost',
    details:
      'Use this for a log whose first records have expired and that has no snapshot, when no entry ' +
      'daemon that holds the state is running. The command fails if the log has a state.',
  });

  async execute(): Promise<ExitCode> {
    return this.withLog(async ({ client, session, output }) => {
      const state = await session.readState();
      if (state.ok) {
        const version = state.val.configurationVersion;
        output.fail(`the log has a state, with configuration version ${version}; nothing was sent`);
        return ExitCode.rejected;
      }
      const payload = session.createEmptyBase();
      if (payload === undefined) {
        output.fail(`nothing was sent: ${state.val}`);
        return ExitCode.rejected;
      }
      const appended = await client.append(payload);
      if (appended.ok) {
        output.print('the log has an empty state now; apply with --based-on 0');
        return ExitCode.accepted;
      }
      output.fail(`${appended.val.error.message}; repeat the command`);
      return appended.val.kind === 'refused' ? ExitCode.rejected : ExitCode.unknown;
    });
  }
}
