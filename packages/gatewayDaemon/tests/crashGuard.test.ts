import { setImmediate } from 'node:timers/promises';

import { expect } from 'chai';

import { ManualClock } from '@bronzelift/common';
import { DecisionLog, Metrics } from '@bronzelift/observability';

import { CrashGuard } from '../src/crashGuard.js';
import type { InstanceRuntime } from '../src/instanceRuntime.js';
import type { PeerMessage } from '../src/peerMessages.js';

const MEMBERS = 142;
const POPULAR = 'popular';

const createInstance = (id: string): InstanceRuntime =>
  ({ id, record: { startedAtWallMs: 1 } }) as InstanceRuntime;

describe('evidence on requests that crash instances', () => {
  let sent = 0;
  let guards: CrashGuard[];

  const deliver = (from: number, message: PeerMessage, hosts?: readonly string[]): void => {
    const receivers =
      hosts?.map(Number) ?? guards.map((_guard, index) => index).filter((index) => index !== from);
    sent += receivers.length;
    if (message.kind !== 'crashes') return;
    queueMicrotask(() => {
      for (const index of receivers) guards[index]!.merge(message.evidence, String(from));
    });
  };

  beforeEach(() => {
    sent = 0;
    const clock = ManualClock.create();
    guards = Array.from({ length: MEMBERS }, (_, index) =>
      CrashGuard.create({
        clock,
        log: DecisionLog.create({ clock, sink: () => Promise.resolve() }),
        metrics: Metrics.create(),
        send: (message, hosts) => deliver(index, message, hosts),
      }),
    );
  });

  // Guards against a flood of messages about a popular request when instances end.
  it('is disputed without a message from each member to each other', async () => {
    for (const guard of guards.slice(1)) guard.recordCompletion(POPULAR);
    ['i-1', 'i-2', 'i-3'].forEach((id) => guards[0]!.recordCrash(POPULAR, createInstance(id)));
    await setImmediate();
    expect(guards.map((guard) => guard.judge(POPULAR))).to.deep.equal(
      new Array<string>(MEMBERS).fill('unsuspected'),
    );
    expect(sent).to.be.below(10 * MEMBERS);
  });

  // Guards against members that learn of a third crash only from their own instances.
  it('stops a request on all members', async () => {
    [3, 50, 141].forEach((member) => {
      guards[member]!.recordCrash('crashing', createInstance(`i-${member}`));
    });
    await setImmediate();
    expect(guards.map((guard) => guard.judge('crashing'))).to.deep.equal(
      new Array<string>(MEMBERS).fill('quarantined'),
    );
  });
});
