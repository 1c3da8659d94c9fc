import { once } from 'node:events';
import { readFile } from 'node:fs/promises';

import { BaselineServer, parseInstances, parsePeer, parsePolicy } from '@bronzelift/baseline-entry';
import { SeededRandom, SystemClock } from '@bronzelift/common';
import { Cli, Command, Option } from 'clipanion';

/** Runs one baseline process until SIGTERM or SIGINT. */
class BaselineCommand extends Command {
  static override usage = Command.Usage({
    description: 'Runs a load balancer with a simple policy as a baseline for comparisons.',
    details: 'The process has no limits, does not coordinate with others and may run orders twice.',
  });

  host = Option.String('--host', '127.0.0.1');

  port = Option.String('--port', { required: true });

  peers = Option.Array('--peer', [], {
    description: 'vmId,failureDomainId,host:port of each process, including this one',
  });

  instances = Option.String('--instances', {
    required: true,
    description: 'JSON file with a list of {service, address, slots}',
  });

  policy = Option.String('--policy', 'random', {
    description: 'random, round-robin, least-outstanding or two-choices',
  });

  seed = Option.String('--seed', '1');

  override async execute(): Promise<void> {
    const baseline = BaselineServer.create({
      policy: parsePolicy(this.policy),
      instances: parseInstances(await readFile(this.instances, 'utf8')),
      peers: this.peers.map(parsePeer),
      clock: SystemClock.create(),
      random: SeededRandom.create(Number(this.seed)),
    });
    baseline.server.listen(Number(this.port), this.host);
    await once(baseline.server, 'listening');
    this.context.stdout.write(`[baseline] listening on ${this.host}:${this.port}\n`);
    await new Promise<void>((resolve) => {
      process.once('SIGTERM', resolve);
      process.once('SIGINT', resolve);
    });
    baseline.close();
  }
}

const cli = new Cli({ binaryName: 'bronzelift-baseline-entry' });
cli.register(BaselineCommand);
await cli.runExit(process.argv.slice(2));
