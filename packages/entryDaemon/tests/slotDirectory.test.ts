import { ManualClock, SeededRandom } from '@bronzelift/common';
import { parseConfiguration } from '@bronzelift/configuration';
import { MemberLease } from '@bronzelift/membership';
import { DecisionLog, Invariants, Metrics } from '@bronzelift/observability';
import { expect } from 'chai';

import { createSendGate } from '../src/sendGate.js';
import { SlotDirectory } from '../src/slotDirectory.js';

const SELF = {
  vmId: 'entry-1',
  incarnation: 'a',
  failureDomainId: 'd',
  callerEndpoint: { host: '127.0.0.1', port: 1 },
  peerEndpoint: { host: '127.0.0.1', port: 2 },
};

const parse = (coldSlots: number, defaultTimeoutMs = 2_000) =>
  parseConfiguration(
    [
      `[service s]\ncold_slots = ${coldSlots}\ndefault_timeout_ms = ${defaultTimeoutMs}`,
      '[domain d]',
      '[instance i]\nservice = s\nfailure_domain = d\nvm = v\naddress = 127.0.0.1:9',
      'slots = 4\nconnections = 20',
    ].join('\n'),
    'test',
  ).unwrap();

const createDirectory = (): SlotDirectory => {
  const clock = ManualClock.create();
  const log = DecisionLog.create({ clock });
  const lease = MemberLease.create(clock, SELF);
  return SlotDirectory.create({
    clock,
    random: SeededRandom.create(1),
    log,
    invariants: Invariants.create({ clock, log, metrics: Metrics.create(), isThrowing: true }),
    ownVmId: SELF.vmId,
    ownDomainId: SELF.failureDomainId,
    gate: createSendGate(
      () => lease,
      () => true,
    ),
    currentLease: () => lease,
    onCold: () => {},
  });
};

describe('SlotDirectory', () => {
  it('applies a lower cold limit to existing instances without a restart of the daemon', () => {
    const directory = createDirectory();
    directory.applyConfiguration(parse(3), () => false);
    expect(directory.findInstance('i')?.allowance.allowed).to.equal(3);
    directory.applyConfiguration(parse(1), () => false);
    expect(directory.findInstance('i')?.allowance.allowed).to.equal(1);
  });

  it('keeps the connections and allowance of an instance when an unrelated setting changes', () => {
    const directory = createDirectory();
    directory.applyConfiguration(parse(1), () => false);
    const known = directory.findInstance('i');
    directory.applyConfiguration(parse(1, 500), () => false);
    expect(directory.findInstance('i')).to.equal(known);
    expect(directory.findService('s')?.configuration.defaultTimeoutMs).to.equal(500);
  });
});
