import { readFile } from 'node:fs/promises';

import { describeError } from '@bronzelift/common';
import { parseConfiguration } from '@bronzelift/configuration';
import type { Configuration } from '@bronzelift/configuration';
import { formatProblem } from '@bronzelift/settings';

import type { Output } from './output.js';

/** Text and parsed content of a valid configuration file. */
export interface ConfigurationFile {
  readonly text: string;
  readonly configuration: Configuration;
}

/** Reads and parses a configuration file; prints all problems and then returns undefined. */
export const readConfigurationFile = async (
  path: string,
  output: Output,
): Promise<ConfigurationFile | undefined> => {
  let text: string;
  try {
    text = new TextDecoder('utf8', { fatal: true }).decode(await readFile(path));
  } catch (error) {
    output.fail(`${path}: expected a readable UTF-8 file (${describeError(error)})`);
    return undefined;
  }
  const parsed = parseConfiguration(text, path);
  if (parsed.ok) return { text, configuration: parsed.val };
  parsed.val.forEach((problem) => output.fail(formatProblem(problem)));
  return undefined;
};
