import { readFile } from 'node:fs/promises';

import { Command, Option } from 'clipanion';

import { describeError } from '@bronzelift/common';

import { ExitCode } from '../constants.js';
import { explainRequest } from '../explainRequest.js';

/** Implements `explain REQUEST-ID FILE...`, which finds the outcome of a request in the logs. */
export class ExplainCommand extends Command {
  static override paths = [['explain']];

  static override usage = Command.Usage({
    description: 'Show the log lines of one request from all entry VMs, and its outcome',
  });

  requestId = Option.String({ name: 'request id' });

  files = Option.Rest({ required: 1, name: 'log files' });

  async execute(): Promise<ExitCode> {
    const texts: { name: string; text: string }[] = [];
    for (const name of this.files) {
      try {
        texts.push({ name, text: await readFile(name, 'utf8') });
      } catch (error) {
        this.context.stderr.write(`read log ${name}: ${describeError(error)}\n`);
        return ExitCode.rejected;
      }
    }
    const { lines, cause } = explainRequest(this.requestId, texts);
    for (const { file, text } of lines) this.context.stdout.write(`${file}: ${text}\n`);
    this.context.stdout.write(`${cause}\n`);
    return lines.length > 0 ? ExitCode.accepted : ExitCode.rejected;
  }
}
