import { expect } from 'chai';

import { ManualClock } from '@bronzelift/common';

import { CONNECT_FAILURE_MEMORY_MS } from '../src/constants.js';
import { Reachability } from '../src/reachability.js';

describe('reachability of a service', () => {
  const createReachability = (instances: number, clock = ManualClock.create()): Reachability =>
    Reachability.create(clock, () => instances);

  // Guards against a member that withdraws because some instances have ended.
  it('is kept while any instance responds between the failures of others', () => {
    const reachability = createReachability(20);
    for (let index = 0; index < 19; index += 1) {
      reachability.record(`i-${index}`, 'no-response');
      if (index % 3 === 2) reachability.record('i-19', 'response');
    }
    expect(reachability.state).to.equal('reached');
  });

  // Guards against a member that waits for all of many instances to fail.
  it('is lost when four instances fail without a response', () => {
    const reachability = createReachability(118);
    for (let index = 0; index < 3; index += 1) reachability.record(`i-${index}`, 'no-response');
    reachability.record('i-2', 'no-response');
    expect(reachability.state).to.equal('reached');
    reachability.record('i-3', 'connect-failed');
    expect(reachability.state).to.equal('unreached');
  });

  // Guards against a return on the response of a single instance, as behind a partial cut.
  it('is regained when two instances respond', () => {
    const reachability = createReachability(20);
    for (let index = 0; index < 4; index += 1) reachability.record(`i-${index}`, 'no-response');
    reachability.record('i-5', 'response');
    reachability.record('i-5', 'response');
    expect(reachability.state).to.equal('unreached');
    reachability.record('i-6', 'response-on-new-connection');
    expect(reachability.state).to.equal('reached');
  });

  // Guards against a cut that spares open connections and is not noticed while they work.
  it('is impaired while most instances accept no new connections', () => {
    const clock = ManualClock.create();
    const reachability = createReachability(6, clock);
    for (let index = 0; index < 4; index += 1) {
      reachability.record(`i-${index}`, 'connect-failed');
      reachability.record(`i-${index}`, 'response');
    }
    expect(reachability.state).to.equal('impaired');
    reachability.record('i-0', 'response-on-new-connection');
    expect(reachability.state).to.equal('reached');
    reachability.record('i-0', 'connect-failed');
    expect(reachability.state).to.equal('impaired');
    clock.advance(CONNECT_FAILURE_MEMORY_MS + 1);
    expect(reachability.state).to.equal('reached');
  });
});
