import { Command, Option } from 'clipanion';

import { describeError } from '@bronzelift/common';

import { EXIT_CODE_INVALID_SETTINGS, findSettingsPath, loadSettings } from './settings.js';

/** Command that checks a settings file without opening ports. */
export class CheckCommand extends Command {
  static override paths = [['check']];

  static override usage = Command.Usage({
    description: 'Checks a settings file; if it is invalid, lists all problems and exits with 2.',
  });

  settingsPath = Option.String({ required: false, name: 'settings file' });

  override async execute(): Promise<number> {
    const path = this.settingsPath ?? findSettingsPath();
    try {
      const { gateway } = loadSettings(path);
      this.context.stdout.write(`${path}: settings of ${gateway.vmId} are valid\n`);
      return 0;
    } catch (error) {
      this.context.stderr.write(`${describeError(error)}\n`);
      return EXIT_CODE_INVALID_SETTINGS;
    }
  }
}
