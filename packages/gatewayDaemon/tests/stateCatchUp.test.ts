import { expect } from 'chai';

import { ManualClock, SeededRandom } from '@bronzelift/common';
import { DecisionLog, Metrics } from '@bronzelift/observability';

import { ControlState } from '../src/controlState.js';
import { MemberTable } from '../src/memberTable.js';
import type { MemberStatus } from '../src/memberTable.js';
import { StateCatchUp } from '../src/stateCatchUp.js';

const AHEAD: MemberStatus = {
  vmId: 'edge-2',
  incarnation: 'a',
  failureDomainId: 'a',
  callerEndpoint: { host: '10.0.0.2', port: 80 },
  phase: 'ready',
  isStoreFailing: false,
  isReader: true,
  storeReadAgeMs: 5,
  operatorRevision: 7,
  configurationVersion: 3,
  instancePosition: -1,
  instanceDigest: 0,
  isCutOff: false,
  unreachedServices: [],
  quarantineDigest: 0,
  sequence: 1,
  purpose: 'report',
};

describe('StateCatchUp', () => {
  // Guards against the members of a failure domain whose relays have both missed a change, and that
  // would learn of it only from the next digest.
  it('tells of state that was fetched, once the member has it', async () => {
    const clock = ManualClock.create();
    const members = MemberTable.create({
      clock,
      random: SeededRandom.create(1),
      regionOfDomain: new Map(),
      own: () => ({ ...AHEAD, vmId: 'edge-1' }),
    });
    members.recordHeartbeat(AHEAD, '10.0.0.2');
    const state = ControlState.create(clock, {
      onConfiguration: () => {},
      onDomains: () => {},
      onInstances: () => {},
      onRetained: () => {},
      onUnreadable: () => {},
    });
    const revision = await new Promise<number>((resolve) => {
      const catchUp = StateCatchUp.create({
        clock,
        random: SeededRandom.create(1),
        log: DecisionLog.create({ clock, sink: () => Promise.resolve() }),
        metrics: Metrics.create(),
        ownDomainId: 'a',
        state,
        members,
        fetchState: () =>
          Promise.resolve({
            operator: { revision: 7, nextOffset: 6, configuration: undefined, domainsOut: ['b'] },
            instances: undefined,
          }),
        onCaughtUp: () => resolve(state.revision),
        signal: new AbortController().signal,
      });
      catchUp.compare(AHEAD);
    });
    expect(revision).to.equal(AHEAD.operatorRevision);
    expect(state.isDomainOut('b')).to.equal(true);
  });
});
