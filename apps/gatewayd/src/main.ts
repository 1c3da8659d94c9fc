import { Builtins, Cli } from 'clipanion';

import { CheckCommand } from './checkCommand.js';
import { RunCommand } from './runCommand.js';

const cli = new Cli({
  binaryName: 'bronzelift-gatewayd',
  binaryVersion: '0.1.0',
  binaryLabel: 'bronzelift gateway daemon',
});
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
cli.register(RunCommand);
cli.register(CheckCommand);
cli
  .run(process.argv.slice(2))
  // After a failed start some ports are still open and would keep the process running.
  // eslint-disable-next-line n/no-process-exit -- see above
  .then((code) => process.exit(code));
