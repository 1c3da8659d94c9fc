import { encodeRecord, isTakenOut } from '@bronzelift/control-log';
import type { ControlState, Target } from '@bronzelift/control-log';

import type { ChangeContext } from './applyConfiguration.js';
import { ExitCode } from './constants.js';

const TARGET_PATTERN = /^(?:domain|vm):[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;

/** Whether a text has the form of a target, `domain:<id>` or `vm:<id>`. */
export const isTarget = (text: string): text is Target => TARGET_PATTERN.test(text);

/** Lists the failure domains and VMs that occur in the configuration or the roster. */
export const listTargets = (state: ControlState): Set<Target> => {
  const { configuration, members } = state;
  return new Set<Target>([
    ...configuration.domains.map(({ id }): Target => `domain:${id}`),
    ...configuration.instances.map(({ vmId }): Target => `vm:${vmId}`),
    ...members.map(({ failureDomainId }): Target => `domain:${failureDomainId}`),
    ...members.map(({ vmId }): Target => `vm:${vmId}`),
  ]);
};

/** Takes a target out of service or brings it back, and checks on the log that it took effect. */
export const drainTarget = async (
  { client, session, output, settleTimeoutMs }: ChangeContext,
  target: Target,
  isTakeOut: boolean,
  force: boolean,
): Promise<ExitCode> => {
  const state = await session.readState();
  if (state.err) {
    output.fail(`nothing was sent: ${state.val}`);
    return ExitCode.rejected;
  }
  const serviceState = isTakeOut ? 'out of service' : 'in service';
  if (isTakenOut(state.val, target) === isTakeOut) {
    output.print(
      `${target} is already ${serviceState} (drain revision ${state.val.drainRevision})`,
    );
    return ExitCode.accepted;
  }
  if (isTakeOut && !force && !listTargets(state.val).has(target)) {
    output.fail(
      `${target} is neither in the configuration nor in the roster; use --force to take it out anyway`,
    );
    return ExitCode.usage;
  }
  const kind = isTakeOut ? 'target-taken-out' : 'target-brought-back';
  const appended = await client.append(encodeRecord({ kind, target }));
  if (appended.err && appended.val.kind === 'refused') {
    output.fail(`nothing was sent: ${appended.val.error.message}`);
    return ExitCode.rejected;
  }
  if (appended.err) output.warn(`${appended.val.error.message}; reading the log for the change`);
  const changeRecord = await session.findRecord(
    ({ offset, result }) =>
      appended.ok ? offset === appended.val : isTakenOut(result.state, target) === isTakeOut,
    settleTimeoutMs,
  );
  if (changeRecord !== undefined && isTakenOut(changeRecord.result.state, target) === isTakeOut) {
    output.print(
      `${target} is ${serviceState} (drain revision ${changeRecord.result.state.drainRevision})`,
    );
    return ExitCode.accepted;
  }
  output.fail(`unknown: the change of ${target} was not found on the log; repeat the command`);
  return ExitCode.unknown;
};
