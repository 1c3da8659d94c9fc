import { readFile } from 'node:fs/promises';

import {
  BackendStandin,
  parseFleet,
  parseNumberOption,
  createInstanceOptions,
  runStandin,
} from '@bronzelift/standins';
import type { InstanceOptions } from '@bronzelift/standins';
import { Cli, Command, Option, UsageError } from 'clipanion';

/** Runs the stand-in for backend servers, with instances from a file or from options. */
class BackendCommand extends Command {
  static override usage = Command.Usage({
    description: 'Runs the stand-in for backend servers; each instance listens on its own port.',
    details:
      'Instances come from a JSON file (--instances) or from --service, --count, --domains and --first-port.',
  });

  port = Option.String('--port', '4200', { description: 'Control port' });

  host = Option.String('--host', '127.0.0.1');

  seed = Option.String('--seed', '1');

  instances = Option.String('--instances', { description: 'JSON file with a list of instances' });

  service = Option.String('--service');

  count = Option.String('--count', '1');

  domains = Option.String('--domains', 'domain-1', { description: 'Comma-separated' });

  firstPort = Option.String('--first-port', '0');

  slots = Option.String('--slots', '4');

  meanServiceMs = Option.String('--mean-service-ms', '20');

  override async execute(): Promise<void> {
    const standin = BackendStandin.create({
      instances: await this.readInstances(),
      seed: parseNumberOption('--seed', this.seed),
    });
    await runStandin('standin-backend', standin, parseNumberOption('--port', this.port), this.host);
  }

  private async readInstances(): Promise<InstanceOptions[]> {
    if (this.instances) {
      return parseFleet(await readFile(this.instances, 'utf8'));
    }
    if (!this.service) throw new UsageError('either --instances or --service is required');
    return createInstanceOptions({
      service: this.service,
      count: parseNumberOption('--count', this.count),
      failureDomainIds: this.domains.split(','),
      firstPort: parseNumberOption('--first-port', this.firstPort),
      slots: parseNumberOption('--slots', this.slots),
      meanServiceMs: parseNumberOption('--mean-service-ms', this.meanServiceMs),
    });
  }
}

const cli = new Cli({ binaryName: 'bronzelift-standin-backend' });
cli.register(BackendCommand);
await cli.runExit(process.argv.slice(2));
