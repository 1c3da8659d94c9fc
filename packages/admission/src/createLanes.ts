import PQueue from 'p-queue';

import { LaneQueue } from './laneQueue.js';
import type { LaneOptions } from './laneQueue.js';

/**
 * Creates a paused p-queue and gives access to its lanes. Requests are removed
 * from the lanes directly, because p-queue's abort signals about double the time of a request that
 * waits (bench/admitCost.ts); the promise that p-queue made for it is then never settled.
 */
export const createLanes = (): { queue: PQueue<LaneQueue, LaneOptions>; lanes: LaneQueue } => {
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
