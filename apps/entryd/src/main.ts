import { SystemClock, describeError, systemRandom } from '@bronzelift/common';
import { EntryDaemon } from '@bronzelift/entry-daemon';
import { EXIT_CODE_INVALID_SETTINGS, formatProblem, loadSettings } from '@bronzelift/settings';
import { Cli, Command, Option } from 'clipanion';

const EXIT_CODE_START_FAILED = 1;

/** Command that runs the entry daemon until SIGTERM or SIGINT. */
class EntryCommand extends Command {
  static override usage = Command.Usage({
    description: 'Runs the entry daemon of one entry VM.',
    details:
      'Exits with 2 if the settings are invalid, with 1 if it cannot start, and with 0 after a planned shutdown.',
  });

  settingsPath = Option.String('--settings', {
    required: true,
    description: 'INI file with the settings of this process',
  });

  override async execute(): Promise<number> {
    const settings = loadSettings(this.settingsPath);
    if (settings.err) {
      for (const problem of settings.val) {
        this.context.stderr.write(`${formatProblem(problem)}\n`);
      }
      return EXIT_CODE_INVALID_SETTINGS;
    }
    const stopRequested = new Promise<NodeJS.Signals>((resolve) => {
      // A listener for the first signal only would let a second one end the process at once.
      process.on('SIGTERM', resolve);
      process.on('SIGINT', resolve);
    });
    const daemon = EntryDaemon.create({
      settings: settings.val,
      clock: SystemClock.create(),
      random: systemRandom,
    });
    try {
      await daemon.start();
    } catch (error) {
      this.context.stderr.write(`[daemon] cannot start: ${describeError(error)}\n`);
      return EXIT_CODE_START_FAILED;
    }
    await stopRequested;
    await daemon.stop();
    return 0;
  }
}

const cli = new Cli({ binaryName: 'bronzelift-entryd' });
cli.register(EntryCommand);
// Ports that a failed start has opened would keep the process running.
// eslint-disable-next-line n/no-process-exit -- see above
process.exit(await cli.run(process.argv.slice(2)));
