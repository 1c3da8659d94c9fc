import type { Endpoint } from '@bronzelift/common';
import { parseNumericEndpoint } from '@bronzelift/settings';

import type { Output } from '../output.js';
import { OutputCommand } from './outputCommand.js';

/** Base of the commands that take the admin addresses of entry daemons. */
export abstract class AdminCommand extends OutputCommand {
  protected static parseAddresses(
    addresses: readonly string[],
    output: Output,
  ): Endpoint[] | undefined {
    const endpoints = addresses.map(parseNumericEndpoint);
    const invalidAddresses = addresses.filter((_, index) => endpoints[index] === undefined);
    if (invalidAddresses.length === 0) return endpoints as Endpoint[];
    output.fail(
      `expected numeric addresses such as 127.0.0.1:8002, found ${invalidAddresses.join(', ')}`,
    );
    return undefined;
  }
}
