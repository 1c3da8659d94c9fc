import { Command, Option } from 'clipanion';

import { ExitCode } from '../constants.js';
import { readChecked } from '../readChecked.js';
import { OutputCommand } from './outputCommand.js';

/** `check <file>`. */
export class CheckCommand extends OutputCommand {
  static override paths = [['check']];

  static override usage = Command.Usage({
    description: "Check an operators' file without sending anything",
  });

  file = Option.String();

  async execute(): Promise<ExitCode> {
    const output = this.createOutput();
    const checked = await readChecked(this.file, output);
    if (checked === undefined) return ExitCode.usage;
    const { services, domains, instances } = checked.configuration;
    output.print(
      `valid: ${services.length} services, ${domains.length} domains, ${instances.length} instances`,
    );
    return ExitCode.accepted;
  }
}
