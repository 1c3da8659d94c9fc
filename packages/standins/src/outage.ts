import type { ServerResponse } from 'node:http';

import type { Clock } from '@bronzelift/common';

import type { OutageMode } from './types.js';
import { sendJson } from './utils.js';

/** Tracks the current outage of a service, including its mode and end. */
export class OutageState {
  private mode: OutageMode | undefined;

  private untilMs = Infinity;

  private constructor(private readonly clock: Clock) {}

  /** Creates the state of a service without an outage. */
  static create(clock: Clock): OutageState {
    return new OutageState(clock);
  }

  /** Starts an outage; without a duration it lasts until `end`. */
  start(mode: OutageMode, durationMs = Infinity): void {
    this.mode = mode;
    this.untilMs = this.clock.monotonicMs() + durationMs;
  }

  /** Makes the service available before the duration of the outage is over. */
  end(): void {
    this.mode = undefined;
  }

  /** Returns the mode of the current outage; undefined while the service is available. */
  current(): OutageMode | undefined {
    return this.clock.monotonicMs() < this.untilMs ? this.mode : undefined;
  }
}

/** Responds with 503 in mode `refuse`; in mode `hang` the request never gets a response. */
export const answerUnavailable = (mode: OutageMode, response: ServerResponse): void => {
  if (mode === 'refuse') sendJson(response, 503, { code: 'unavailable' });
};
