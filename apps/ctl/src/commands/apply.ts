import { Command, Option } from 'clipanion';

import { applyConfiguration } from '../applyConfiguration.js';
import { ExitCode } from '../constants.js';
import { readConfigurationFile } from '../readConfigurationFile.js';
import { parseCount } from '../utils.js';
import { ChangeCommand } from './changeCommand.js';

/** Implements `apply <file>`, which puts a configuration file in force. */
export class ApplyCommand extends ChangeCommand {
  static override paths = [['apply']];

  static override usage = Command.Usage({
    description: 'Put a configuration file in force as a whole',
    details:
      'The file is checked locally and again by every entry daemon. It is accepted only if the ' +
      'version that it is based on is still in force when it reaches the log.',
  });

  file = Option.String();

  basedOn = Option.String('--based-on', {
    description: 'Version that the file is based on; default: the version in force',
  });

  async execute(): Promise<ExitCode> {
    const output = this.createOutput();
    const basedOn = this.basedOn === undefined ? undefined : parseCount(this.basedOn);
    if (this.basedOn !== undefined && basedOn === undefined) {
      output.fail(`expected a version number after --based-on, found ${this.basedOn}`);
      return ExitCode.usage;
    }
    const configurationFile = await readConfigurationFile(this.file, output);
    if (configurationFile === undefined) return ExitCode.usage;
    return this.change((context) => applyConfiguration(context, configurationFile.text, basedOn));
  }
}
