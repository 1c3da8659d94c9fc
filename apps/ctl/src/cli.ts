import { Builtins, Cli } from 'clipanion';
import type { BaseContext, Command } from 'clipanion';

import { describeError } from '@bronzelift/common';

import { ApplyCommand } from './commands/apply.js';
import { BringBackCommand } from './commands/bringBack.js';
import { CheckCommand } from './commands/check.js';
import { ExplainCommand } from './commands/explain.js';
import { ShowCommand } from './commands/show.js';
import { StartEmptyCommand } from './commands/startEmpty.js';
import { StatusCommand } from './commands/status.js';
import { TakeOutCommand } from './commands/takeOut.js';
import { WaitForCommand } from './commands/waitFor.js';
import { ExitCode } from './constants.js';

const createCli = (): Cli => {
  const cli = new Cli({ binaryName: 'bronzeliftctl', binaryLabel: 'bronzelift operators' });
  [
    Builtins.HelpCommand,
    CheckCommand,
    ApplyCommand,
    ExplainCommand,
    ShowCommand,
    StatusCommand,
    TakeOutCommand,
    BringBackCommand,
    StartEmptyCommand,
    WaitForCommand,
  ].forEach((command) => cli.register(command));
  return cli;
};

/** Runs a command line and returns its exit code; an invalid command line returns 2. */
export const runCli = async (
  args: readonly string[],
  context: Partial<BaseContext> = {},
): Promise<number> => {
  const cli = createCli();
  const fullContext = { ...Cli.defaultContext, ...context };
  let command: Command;
  try {
    command = cli.process([...args], fullContext);
  } catch (error) {
    fullContext.stderr.write(`${describeError(error)}\n`);
    return ExitCode.usage;
  }
  return cli.run(command, fullContext);
};
