import { readFile } from 'node:fs/promises';

import {
  VmListStandin,
  parseNumberOption,
  parseOptionalNumber,
  runStandin,
  vmEntriesSchema,
} from '@bronzelift/standins';
import { Cli, Command, Option } from 'clipanion';

/** Runs the stand-in for the VM list service, with initial entries from a file. */
class VmListCommand extends Command {
  static override usage = Command.Usage({
    description: 'Runs the stand-in for the VM list service.',
  });

  port = Option.String('--port', '4101');

  host = Option.String('--host', '127.0.0.1');

  lagMs = Option.String('--lag-ms');

  vms = Option.String('--vms', { description: 'JSON file with the initial entries' });

  override async execute(): Promise<void> {
    const standin = VmListStandin.create({
      lagMs: parseOptionalNumber('--lag-ms', this.lagMs),
      vms: this.vms ? vmEntriesSchema.parse(JSON.parse(await readFile(this.vms, 'utf8'))) : [],
    });
    await runStandin('standin-vmlist', standin, parseNumberOption('--port', this.port), this.host);
  }
}

const cli = new Cli({ binaryName: 'bronzelift-standin-vmlist' });
cli.register(VmListCommand);
await cli.runExit(process.argv.slice(2));
