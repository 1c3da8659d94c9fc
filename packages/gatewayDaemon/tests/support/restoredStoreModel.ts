import { ManualClock } from '@bronzelift/common';

import { ControlState } from '../../src/controlState.js';
import { getEra, getOffset } from '../../src/storePosition.js';
import type {
  GatewayConfiguration,
  InstanceChange,
  InstanceRecord,
  OperatorChange,
} from '../../src/types.js';
import { createRecord } from './createRecord.js';
import { RestorableStream } from './restorableStream.js';

/** Ids of the instances that a model may contain. */
export const MODEL_IDS = ['x', 'y', 'z'];
/** Number of members of a model. */
export const MODEL_MEMBERS = 3;
/** Failure domain that a model takes out of service. */
export const MODEL_DOMAIN = 'a';

const createConfiguration = (version: number): GatewayConfiguration => ({
  version,
  routes: [],
  services: [],
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
});

const createMember = (clock: ManualClock) => {
  const used = new Map<string, InstanceRecord>();
  const versions: number[] = [];
  const state = ControlState.create(clock, {
    onConfiguration: ({ version }) => versions.push(version),
    onDomains: () => {},
    onInstances: (changed, removed) => {
      for (const id of removed) used.delete(id);
      for (const record of changed) used.set(record.id, record);
    },
    onRetained: () => {},
    onUnreadable: () => {},
  });
  return { state, used, versions };
};

/** Members that read a store, which is copied and restored, and exchange their states. */
export class RestoredStoreModel {
  readonly clock = ManualClock.create();

  readonly live = new Set<string>();

  members = Array.from({ length: MODEL_MEMBERS }, () => createMember(this.clock));

  version = 0;

  isDomainOut = false;

  private sequence = 0;

  private readonly instances = new RestorableStream<
    { readonly kind: 'registered'; readonly record: InstanceRecord } | { readonly kind: 'removed' }
  >();

  private readonly operators = new RestorableStream<OperatorChange>();

  register(id: string): void {
    this.sequence += 1;
    this.live.add(id);
    const record = createRecord(id, { sequence: this.sequence });
    this.instances.append(id, { kind: 'registered', record });
  }

  remove(id: string): void {
    this.live.delete(id);
    this.instances.append(id, { kind: 'removed' });
  }

  configure(version: number): void {
    this.version = version;
    const configuration = createConfiguration(version);
    this.operators.append('config', { kind: 'configuration', configuration });
  }

  setDomainOut(isOut: boolean): void {
    this.isDomainOut = isOut;
    const kind = isOut ? 'domain-out' : 'domain-in';
    this.operators.append(MODEL_DOMAIN, { kind, failureDomainId: MODEL_DOMAIN });
  }

  copy(): void {
    this.instances.copy();
    this.operators.copy();
  }

  restore(): void {
    this.instances.restore();
    this.operators.restore();
  }

  /** Operators and live instances write again what the store has lost; others expire. */
  rewrite(): void {
    for (const id of MODEL_IDS) if (this.live.has(id)) this.register(id);
    for (const id of MODEL_IDS) if (!this.live.has(id)) this.remove(id);
    this.configure(this.version);
    this.setDomainOut(this.isDomainOut);
  }

  restart(member: number): void {
    this.members[member] = createMember(this.clock);
  }

  read(member: number): void {
    const { state } = this.members[member]!;
    this.readInstances(state);
    this.readOperators(state);
  }

  exchange(from: number, to: number): void {
    const source = this.members[from]!.state;
    const target = this.members[to]!.state;
    target.adoptOperatorSnapshot(source.createOperatorSnapshot());
    const snapshot = source.createInstanceSnapshot();
    if (snapshot !== undefined) target.mergeInstanceSnapshot(snapshot);
  }

  private readInstances(state: ControlState): void {
    const position = state.nextInstancePosition;
    const { era: storeEra, nextOffset } = this.instances;
    const canContinue = position !== undefined && getEra(position) === storeEra;
    const read = canContinue
      ? this.instances.readFrom(getOffset(position))
      : this.instances.readNewest().filter(({ change }) => change.kind !== 'removed');
    const toChange = ({ change, offset }: (typeof read)[number]): InstanceChange =>
      change.kind === 'registered'
        ? { ...change, offset }
        : { kind: 'removed', instanceId: this.instances.keyAt(offset), offset };
    const page = { storeEra, changes: read.map(toChange), nextOffset };
    if (canContinue) state.applyInstanceChanges(page, undefined);
    else state.replaceInstances(page, undefined);
  }

  private readOperators(state: ControlState): void {
    const position = state.nextOperatorPosition;
    const { era: storeEra, nextOffset } = this.operators;
    const canContinue = position !== undefined && getEra(position) === storeEra;
    const read = canContinue
      ? this.operators.readFrom(getOffset(position))
      : this.operators.readNewest().filter(({ change }) => change.kind !== 'domain-in');
    const page = { storeEra, changes: read.map(({ change }) => change), nextOffset };
    if (canContinue) state.applyOperatorChanges(page);
    else state.replaceOperatorState(page);
  }
}
