import { isIP } from 'node:net';

import { formatEndpoint } from '@bronzelift/common';
import { UsageError } from 'clipanion';
import { consola } from 'consola';

import type { Standin } from './types.js';

/** Value of a numeric command line option; throws a usage error when it is not a number. */
export const parseNumberOption = (name: string, text: string): number => {
  const value = Number(text);
  if (text.trim() === '' || !Number.isFinite(value) || value < 0) {
    throw new UsageError(`${name} must be a number of at least 0, got "${text}"`);
  }
  return value;
};

/** Value of a numeric option that may be left out. */
export const parseOptionalNumber = (name: string, text: string | undefined): number | undefined =>
  text === undefined ? undefined : parseNumberOption(name, text);

/** Runs a stand-in until SIGTERM or SIGINT; prints a line with its address once it listens. */
export const runStandin = async (
  prefix: string,
  standin: Standin,
  port: number,
  host: string,
): Promise<void> => {
  if (isIP(host) === 0) throw new UsageError(`--host must be a numeric IP address, got ${host}`);
  const log = consola.withTag(prefix);
  const stopped = new Promise<NodeJS.Signals>((resolve) => {
    process.once('SIGTERM', resolve);
    process.once('SIGINT', resolve);
  });
  const endpoint = await standin.listen(port, host);
  log.info(`listening on ${formatEndpoint(endpoint)}`);
  log.info(`stopping on ${await stopped}`);
  await standin.close();
};
