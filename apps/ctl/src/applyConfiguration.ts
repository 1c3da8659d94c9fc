import { randomUUID } from 'node:crypto';

import { assertNever } from '@bronzelift/common';
import { decodeRecord, encodeRecord } from '@bronzelift/control-log';
import type { FoldResult } from '@bronzelift/control-log';

import { ExitCode } from './constants.js';
import type { FoldedRecord, LogContext } from './logSession.js';
import type { Output } from './output.js';

/** Log access of a command that appends a change. */
export interface ChangeContext extends LogContext {
  /** Longest wait for the appended change to be read back from the log. */
  readonly settleTimeoutMs: number;
}

const describeResult = (result: FoldResult, output: Output): ExitCode => {
  switch (result.kind) {
    case 'accepted':
      output.print(`accepted: version ${result.version} is in force on the log`);
      return ExitCode.accepted;
    case 'lost-race':
      output.fail(
        `lost the race: version ${result.version} is in force and was applied by someone else; ` +
          'nothing was changed',
      );
      return ExitCode.rejected;
    case 'rejected':
    case 'malformed':
    case 'ignored':
      output.fail(`rejected: ${result.reason}; nothing was changed`);
      return ExitCode.rejected;
    case 'applied':
      output.fail('the log applied the record as a record of another kind');
      return ExitCode.unknown;
    default:
      return assertNever(result);
  }
};

const hasApplyId =
  (applyId: string) =>
  ({ payload }: FoldedRecord): boolean => {
    const decoded = decodeRecord(payload);
    if (decoded.err || decoded.val.kind !== 'configuration-applied') return false;
    return decoded.val.applyId === applyId;
  };

/**
 * Checks whether an apply can be based on the given version. If not, prints the reason and returns
 * the exit code; otherwise returns undefined.
 */
const checkBaseVersion = (
  versionInForce: number,
  basedOnVersion: number | undefined,
  output: Output,
): ExitCode | undefined => {
  if (basedOnVersion === undefined && versionInForce === 0) {
    output.fail(
      'no configuration is in force on this log; for a first deployment add --based-on 0, ' +
        'otherwise check the address of the log and that entry daemons are running',
    );
    return ExitCode.usage;
  }
  if (basedOnVersion !== undefined && basedOnVersion !== versionInForce) {
    output.fail(`lost the race: version ${versionInForce} is in force; nothing was sent`);
    return ExitCode.rejected;
  }
  return undefined;
};

/**
 * Appends a configuration and reports whether it was accepted. When the response to the append
 * is lost, the log is searched for the id of the apply.
 */
export const applyConfiguration = async (
  { client, session, output, settleTimeoutMs }: ChangeContext,
  text: string,
  basedOnVersion: number | undefined,
): Promise<ExitCode> => {
  const state = await session.readState();
  if (state.err) {
    output.fail(`nothing was sent: ${state.val}`);
    return ExitCode.rejected;
  }
  const baseVersion = state.val.configurationVersion;
  const refusal = checkBaseVersion(baseVersion, basedOnVersion, output);
  if (refusal !== undefined) return refusal;
  const applyId = randomUUID();
  const appended = await client.append(
    encodeRecord({ kind: 'configuration-applied', applyId, basedOnVersion: baseVersion, text }),
  );
  if (appended.err && appended.val.kind === 'refused') {
    output.fail(`nothing was sent: ${appended.val.error.message}`);
    return ExitCode.rejected;
  }
  if (appended.err) output.warn(`${appended.val.error.message}; reading the log for the apply`);
  const record = await session.findRecord(hasApplyId(applyId), settleTimeoutMs);
  if (record !== undefined) return describeResult(record.result, output);
  output.fail(
    `unknown: the apply ${applyId} was not found on the log within ${settleTimeoutMs} ms ` +
      `and may still arrive; run the same command with --based-on ${baseVersion}, which can't apply it twice`,
  );
  return ExitCode.unknown;
};
