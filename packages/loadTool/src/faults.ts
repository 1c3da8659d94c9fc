import type { Clock } from '@bronzelift/common';
import { StepError, assertNever, describeError } from '@bronzelift/common';

import { postBehavior } from './standinClient.js';
import type { FaultResult, ScheduledFault } from './types.js';
import { sleepUntil } from './utils.js';

const MIN_PID = 2;

const describeFault = (fault: ScheduledFault): string => {
  switch (fault.kind) {
    case 'behavior':
      return `${fault.url} ${JSON.stringify(fault.behavior)}`;
    case 'signal':
      return `${fault.signal} to process ${fault.pid}`;
    case 'callback':
      return fault.name;
    default:
      return assertNever(fault);
  }
};

const applyFault = async (fault: ScheduledFault): Promise<void> => {
  switch (fault.kind) {
    case 'behavior':
      await postBehavior(fault.url, fault.behavior);
      break;
    case 'signal':
      // 0 and negative ids address process groups, so the signal would reach unrelated processes.
      if (fault.pid < MIN_PID) throw StepError.create('send signal', 'local', `pid ${fault.pid}`);
      process.kill(fault.pid, fault.signal);
      break;
    case 'callback':
      await fault.run();
      break;
    default:
      assertNever(fault);
  }
};

/** Applies each fault when it is due; returns the errors of failed faults instead of throwing. */
export const applyFaults = (
  faults: readonly ScheduledFault[],
  clock: Clock,
  startMs: number,
): Promise<FaultResult[]> =>
  Promise.all(
    faults.map(async (fault) => {
      await sleepUntil(clock, startMs + fault.atMs);
      const appliedAtMs = clock.monotonicMs() - startMs;
      const error = await applyFault(fault).then(() => undefined, describeError);
      return { atMs: fault.atMs, description: describeFault(fault), appliedAtMs, error };
    }),
  );
