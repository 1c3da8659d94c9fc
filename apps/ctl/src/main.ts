import { runCli } from './cli.js';

// A reader such as `head` may close the pipe early; the remaining output is then discarded.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  if (error.code !== 'EPIPE') throw error;
});

process.exitCode = await runCli(process.argv.slice(2));
