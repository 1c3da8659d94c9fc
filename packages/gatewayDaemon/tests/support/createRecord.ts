import type { InstanceRecord } from '../../src/types.js';

/** Creates the registration of a warm instance, with the given fields replaced. */
export const createRecord = (id: string, fields: Partial<InstanceRecord> = {}): InstanceRecord => ({
  id,
  service: 'fitting',
  endpoint: { host: '10.0.0.1', port: 80 },
  failureDomainId: 'a',
  slots: 4,
  isDraining: false,
  coldForMs: 0,
  startedAtWallMs: 1,
  sequence: 1,
  ...fields,
});
