import { Cli } from 'clipanion';

import { ExperimentCommand } from './experimentCommand.js';

const cli = new Cli({ binaryName: 'bronzelift-experiment', binaryVersion: '0.1.0' });
cli.register(ExperimentCommand);
process.exitCode = await cli.run(process.argv.slice(2));
