import type { ServerResponse } from 'node:http';

import type { Clock } from '@bronzelift/common';

import type { OutageMode } from './types.js';
import { sendJson } from './utils.js';

/** Whether a service is unavailable at the moment, and how. */
export class OutageState {
  private mode: OutageMode | undefined;

  private untilMs = Infinity;

  private constructor(private readonly clock: Clock) {}

  /** Creates the state of an available service. */
  static create(clock: Clock): OutageState {
    return new OutageState(clock);
  }

  /** Starts an outage; without a duration it lasts until `end`. */
  start(mode: OutageMode, durationMs = Infinity): void {
    this.mode = mode;
    this.untilMs = this.clock.monotonicMs() + durationMs;
  }

  /** Ends the outage. */
  end(): void {
    this.mode = undefined;
  }

  /** Mode of the outage in force, if there is one. */
  current(): OutageMode | undefined {
    return this.clock.monotonicMs() < this.untilMs ? this.mode : undefined;
  }
}

/** Treats a request as the outage mode says; a hanging request never gets a response. */
export const answerUnavailable = (mode: OutageMode, response: ServerResponse): void => {
  if (mode === 'refuse') sendJson(response, 503, { code: 'unavailable' });
};
