import { Option } from 'clipanion';

import { SystemClock } from '@bronzelift/common';
import { LogClient } from '@bronzelift/control-log';
import { parseNumericEndpoint } from '@bronzelift/settings';

import { ExitCode, LOG_VARIABLE } from '../constants.js';
import { LogSession } from '../logSession.js';
import type { LogContext } from '../logSession.js';
import { OutputCommand } from './outputCommand.js';

/** Base of the commands that read or append to the log. */
export abstract class LogCommand extends OutputCommand {
  log = Option.String('--log', {
    description: `Address of the log service, host:port; default: the environment variable ${LOG_VARIABLE}`,
  });

  /** Runs an action with a client of the log service, and closes its connections afterwards. */
  protected async withLog(action: (context: LogContext) => Promise<ExitCode>): Promise<ExitCode> {
    const output = this.createOutput();
    const text = this.log ?? this.context.env[LOG_VARIABLE];
    const endpoint = text === undefined ? undefined : parseNumericEndpoint(text);
    if (endpoint === undefined) {
      output.fail(
        `expected the address of the log as --log 127.0.0.1:4100 or in ${LOG_VARIABLE}, ` +
          `found ${text ?? 'neither'}`,
      );
      return ExitCode.usage;
    }
    const clock = SystemClock.create();
    const client = LogClient.create({ endpoint, clientId: 'bronzeliftctl', clock });
    try {
      return await action({ client, session: LogSession.create(client, clock), output });
    } finally {
      client.close();
    }
  }
}
