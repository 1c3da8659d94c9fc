import { ManualClock } from '@bronzelift/common';
import { expect } from 'chai';

import { VmListStandin } from '../src/index.js';
import type { VmListResponse } from '../src/index.js';
import { post, send } from './client.js';

const VM = { vmId: 'vm1', address: '127.0.0.1:7001', failureDomainId: 'd1' };

describe('VmListStandin', () => {
  it('shows changes only after the lag, like the real VM list service', async () => {
    const clock = ManualClock.create();
    const standin = VmListStandin.create({ clock, lagMs: 1000 });
    const endpoint = await standin.listen(0);
    const states = async (): Promise<string[]> => {
      const list = JSON.parse((await send(endpoint, '/v1/vms')).body) as VmListResponse;
      expect(list.asOfMs).to.equal(clock.wallMs() - 1000);
      return list.vms.map(({ vmId, state }) => `${vmId} ${state}`);
    };
    try {
      await post(endpoint, '/standin/v1/behavior', { kind: 'add', vms: [VM] });
      clock.advance(600);
      standin.apply({ kind: 'leaving', vmIds: ['vm1', 'unknown'] });
      expect(await states()).to.deep.equal([]);
      clock.advance(400);
      expect(await states()).to.deep.equal(['vm1 live']);
      standin.apply({ kind: 'remove', vmIds: ['vm1'] });
      clock.advance(600);
      expect(await states()).to.deep.equal(['vm1 leaving']);
      clock.advance(400);
      expect(await states()).to.deep.equal([]);
      standin.apply({ kind: 'outage', mode: 'refuse' });
      expect((await send(endpoint, '/v1/vms')).status).to.equal(503);
    } finally {
      await standin.close();
    }
  });
});
