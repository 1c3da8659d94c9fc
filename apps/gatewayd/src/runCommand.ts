import { Command, Option } from 'clipanion';

import { SystemClock, describeError, systemRandom } from '@bronzelift/common';
import { GatewayDaemon } from '@bronzelift/gateway-daemon';
import { StoreClient, backendDialect, gatewayProtocol } from '@bronzelift/platform';
import type { PlatformSettings } from '@bronzelift/platform';

import { EXIT_CODE_INVALID_SETTINGS, findSettingsPath, loadSettings } from './settings.js';

const EXIT_CODE_START_FAILED = 1;
const MAX_PORT = 65_535;

/** Command that runs the gateway daemon until SIGTERM or SIGINT. */
export class RunCommand extends Command {
  static override paths = [['run'], Command.Default];

  static override usage = Command.Usage({
    description: 'Runs the gateway daemon of one entry VM.',
    details:
      'Exits with 2 if the settings or an option are invalid, with 1 if the daemon cannot start, and with 0 after a planned shutdown.',
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
      return EXIT_CODE_INVALID_SETTINGS;
    }
    const metricsPort = this.metricsPort === undefined ? undefined : Number(this.metricsPort);
    if (metricsPort !== undefined && !(metricsPort > 0 && metricsPort <= MAX_PORT)) {
      this.context.stderr.write(`--metrics-port: expected a port, found ${this.metricsPort}\n`);
      return EXIT_CODE_INVALID_SETTINGS;
    }
    return this.serve(settings, metricsPort);
  }

  private async serve(
    settings: PlatformSettings,
    metricsPort: number | undefined,
  ): Promise<number> {
    const daemon = GatewayDaemon.create({
      settings: settings.gateway,
      clock: SystemClock.create(),
      random: systemRandom,
      store: StoreClient.create(settings.storeEndpoint),
      protocol: gatewayProtocol,
      dialect: backendDialect,
      metricsPort,
    });
    const stopRequested = new Promise<NodeJS.Signals>((resolve) => {
      // A listener for the first signal only would let a second one end the process at once.
      process.on('SIGTERM', resolve);
      process.on('SIGINT', resolve);
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
