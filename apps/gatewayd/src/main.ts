import { readFileSync } from 'node:fs';

import { Cli, Command, Option } from 'clipanion';

import { SystemClock, describeError, systemRandom } from '@bronzelift/common';
import { GatewayDaemon } from '@bronzelift/gateway-daemon';
import {
  DEFAULT_SETTINGS_PATH,
  SETTINGS_PATH_VARIABLE,
  StoreClient,
  backendDialect,
  createSettingsError,
  gatewayProtocol,
  readSettings,
} from '@bronzelift/platform';
import type { PlatformSettings } from '@bronzelift/platform';

const EXIT_CODE_START_FAILED = 1;
const EXIT_CODE_BAD_SETTINGS = 2;
const MAX_PORT = 65_535;

const findSettingsPath = (): string =>
  process.env[SETTINGS_PATH_VARIABLE] ?? DEFAULT_SETTINGS_PATH;

/** Reads the settings file; throws a StepError that names all mistakes. */
const loadSettings = (path: string): PlatformSettings => {
  // eslint-disable-next-line n/no-sync -- read once, before the process does anything else
  const result = readSettings(readFileSync(path, 'utf8'));
  if (result.kind === 'mistaken') throw createSettingsError(path, result.mistakes);
  return result.settings;
};

/** Runs the gateway daemon until SIGTERM or SIGINT. */
class RunCommand extends Command {
  static override paths = [['run'], Command.Default];

  static override usage = Command.Usage({
    description: 'Runs the gateway daemon of one entry VM.',
    details:
      'Exits with 2 when the settings are wrong, with 1 when it cannot start, and with 0 after a planned shutdown.',
  });

  metricsPort = Option.String('--metrics-port', {
    description: 'TCP port on which metrics are served; none by default',
  });

  override async execute(): Promise<number> {
    let settings: PlatformSettings;
    try {
      settings = loadSettings(findSettingsPath());
    } catch (error) {
      this.context.stderr.write(`${describeError(error)}\n`);
      return EXIT_CODE_BAD_SETTINGS;
    }
    const metricsPort = this.metricsPort === undefined ? undefined : Number(this.metricsPort);
    if (metricsPort !== undefined && !(metricsPort > 0 && metricsPort <= MAX_PORT)) {
      this.context.stderr.write(`--metrics-port: expected a port, found ${this.metricsPort}\n`);
      return EXIT_CODE_BAD_SETTINGS;
    }
    return this.serve(settings, metricsPort);
  }

  private async serve(settings: PlatformSettings, metricsPort?: number): Promise<number> {
    const daemon = GatewayDaemon.create({
      settings: settings.gateway,
      clock: SystemClock.create(),
      random: systemRandom,
      store: StoreClient.create(settings.storeEndpoint),
      protocol: gatewayProtocol,
      dialect: backendDialect,
      metricsPort,
    });
    const stopRequested = new Promise<void>((resolve) => {
      process.once('SIGTERM', resolve);
      process.once('SIGINT', resolve);
    });
    process.on('SIGHUP', () => daemon.reload());
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

/** Checks a settings file without starting anything. */
class CheckCommand extends Command {
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

const cli = new Cli({ binaryName: 'bronzelift-gatewayd', binaryVersion: '0.1.0' });
cli.register(RunCommand);
cli.register(CheckCommand);
cli
  .run(process.argv.slice(2))
  // A failed start leaves open ports behind, so that the process has to be ended.
  // eslint-disable-next-line n/no-process-exit -- see above
  .then((code) => process.exit(code));
