import { readFile } from 'node:fs/promises';

import { describeError } from '@bronzelift/common';
import { parseConfiguration } from '@bronzelift/configuration';
import type { Configuration } from '@bronzelift/configuration';
import { formatProblem } from '@bronzelift/settings';

import type { Output } from './output.js';

/** An operators' file without mistakes. */
export interface CheckedFile {
  readonly text: string;
  readonly configuration: Configuration;
}

/** Reads and checks a file; prints every mistake and returns undefined when there is one. */
export const readChecked = async (
  path: string,
  output: Output,
): Promise<CheckedFile | undefined> => {
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
