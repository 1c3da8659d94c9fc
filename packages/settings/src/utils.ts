import { isIPv4 } from 'node:net';

import { parseEndpoint } from '@bronzelift/common';
import type { Endpoint } from '@bronzelift/common';

import { MAX_QUOTED_LENGTH, MAX_REPORTED_PROBLEMS } from './constants.js';
import type { IniProblem } from './types.js';

const NUMERIC_ENDPOINT = /^[0-9.]+:[0-9]{1,5}$/;

/** Quotes text from a file, shortened and on one line. */
export const quote = (text: string): string => {
  const shortened =
    text.length > MAX_QUOTED_LENGTH ? `${text.slice(0, MAX_QUOTED_LENGTH)}...` : text;
  return JSON.stringify(shortened);
};

/** Parses `a.b.c.d:port` with a port from 1; undefined for any other text, such as host names. */
export const parseNumericEndpoint = (text: string): Endpoint | undefined => {
  if (!NUMERIC_ENDPOINT.test(text)) return undefined;
  const endpoint = parseEndpoint(text);
  if (endpoint === undefined || endpoint.port === 0 || !isIPv4(endpoint.host)) return undefined;
  return endpoint;
};

/** Formats a problem as one line with file, line, key, and expected and found value. */
export const formatProblem = (problem: IniProblem): string => {
  const place = problem.line === 0 ? problem.file : `${problem.file}:${problem.line}`;
  const found = problem.found === undefined ? '' : `, found ${problem.found}`;
  return `${place}: ${problem.key}: expected ${problem.expected}${found}`;
};

/** Sorts problems by line; truncates a long list and adds an entry that states the limit. */
export const sortAndLimitProblems = (problems: readonly IniProblem[]): IniProblem[] => {
  const sorted = [...problems].sort((left, right) => left.line - right.line);
  if (sorted.length <= MAX_REPORTED_PROBLEMS) return sorted;
  const shown = sorted.slice(0, MAX_REPORTED_PROBLEMS);
  shown.push({
    file: sorted[0]!.file,
    line: 0,
    key: 'file',
    expected: `fewer problems; only the first ${MAX_REPORTED_PROBLEMS} are listed`,
  });
  return shown;
};
