import { Cli } from 'clipanion';

import { CompareCommand } from './commands/compare.js';
import { PlotCommand } from './commands/plot.js';
import { RunCommand } from './commands/run.js';

const cli = new Cli({ binaryName: 'bronzelift-load' });
cli.register(RunCommand);
cli.register(CompareCommand);
cli.register(PlotCommand);
await cli.runExit(process.argv.slice(2));
