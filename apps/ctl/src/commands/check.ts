import { Command, Option } from 'clipanion';

import { ExitCode } from '../constants.js';
import { readConfigurationFile } from '../readConfigurationFile.js';
import { OutputCommand } from './outputCommand.js';

/** Implements `check <file>`, which validates a configuration file locally. */
export class CheckCommand extends OutputCommand {
  static override paths = [['check']];

  static override usage = Command.Usage({
    description: 'Check a configuration file without sending anything',
  });

  file = Option.String();

  async execute(): Promise<ExitCode> {
    const output = this.createOutput();
    const configurationFile = await readConfigurationFile(this.file, output);
    if (configurationFile === undefined) return ExitCode.usage;
    const { services, domains, instances } = configurationFile.configuration;
    output.print(
      `valid: ${services.length} services, ${domains.length} domains, ${instances.length} instances`,
    );
    return ExitCode.accepted;
  }
}
