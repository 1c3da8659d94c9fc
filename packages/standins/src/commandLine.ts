import { isIP } from 'node:net';

import { formatEndpoint } from '@bronzelift/common';
import { UsageError } from 'clipanion';
import { consola } from 'consola';

import type { Standin } from './types.js';

/** Parses a numeric command line option; throws a usage error unless it is a number >= 0. */
export const parseNumberOption = (name: string, text: string): number => {
  const value = Number(text);
  if (text.trim() === '' || !Number.isFinite(value) || value < 0) {
    throw new UsageError(`${name} must be a number of at least 0, got "${text}"`);
  }
  return value;
};

/** Like `parseNumberOption`, for an option that may be omitted. */
export const parseOptionalNumber = (name: string, text: string | undefined): number | undefined =>
  text === undefined ? undefined : parseNumberOption(name, text);

/** Runs a stand-in until SIGTERM or SIGINT; logs its address once it accepts connections. */
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
