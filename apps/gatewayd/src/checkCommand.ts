import { Command, Option } from 'clipanion';

import { describeError } from '@bronzelift/common';

import { EXIT_CODE_BAD_SETTINGS, findSettingsPath, loadSettings } from './settings.js';

/** Checks a settings file without starting anything. */
export class CheckCommand extends Command {
  static override paths = [['check']];

  static override usage = Command.Usage({
    description: 'Checks a settings file; exits with 2 and names all mistakes when it is wrong.',
  });

  settingsPath = Option.String({ required: false, name: 'settings file' });

  override async execute(): Promise<number> {
    const path = this.settingsPath ?? findSettingsPath();
    try {
      const { gateway } = loadSettings(path);
      this.context.stdout.write(`${path}: settings of ${gateway.vmId} are complete\n`);
      return 0;
    } catch (error) {
      this.context.stderr.write(`${describeError(error)}\n`);
      return EXIT_CODE_BAD_SETTINGS;
    }
  }
}
