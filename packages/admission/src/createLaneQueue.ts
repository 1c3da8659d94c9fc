import PQueue from 'p-queue';

import { LaneQueue } from './laneQueue.js';
import type { LaneOptions } from './laneQueue.js';

/**
 * Creates a paused p-queue and returns it with its LaneQueue. Waiting requests are removed from the
 * LaneQueue directly, because p-queue's abort signals about double the cost of a request that waits
 * (bench/admitCost.ts). The promise that p-queue created for a removed request is never settled.
 */
export const createLaneQueue = (): { queue: PQueue<LaneQueue, LaneOptions>; lanes: LaneQueue } => {
  const created: LaneQueue[] = [];
  class RegisteredLaneQueue extends LaneQueue {
    constructor() {
      super();
      created.push(this);
    }
  }
  const queue = new PQueue<LaneQueue, LaneOptions>({
    queueClass: RegisteredLaneQueue,
    autoStart: false,
  });
  return { queue, lanes: created[0]! };
};
