import { expect } from 'chai';
import fc from 'fast-check';

import { REGISTRATION_RENEWAL_GRACE_MS } from '../src/constants.js';
import {
  MODEL_DOMAIN,
  MODEL_IDS,
  MODEL_MEMBERS,
  RestoredStoreModel,
} from './support/restoredStoreModel.js';

const seedOption = process.env.SEED === undefined ? {} : { seed: Number(process.env.SEED) };

const member = fc.nat({ max: MODEL_MEMBERS - 1 });
const id = fc.constantFrom(...MODEL_IDS);
const operation = fc.oneof(
  fc.record({ kind: fc.constant('register' as const), id }),
  fc.record({ kind: fc.constant('remove' as const), id }),
  fc.record({ kind: fc.constantFrom('configure', 'copy', 'restore', 'rewrite', 'domain') }),
  fc.record({ kind: fc.constant('read' as const), member }),
  fc.record({ kind: fc.constant('exchange' as const), member, to: member }),
  fc.record({ kind: fc.constant('restart' as const), member }),
);

describe('members of a store that is restored from a copy', () => {
  // Guards against members that go back to the content of a copy, or never agree again, in any order
  // of copies, reads, exchanges and restarts.
  it('never go back to an older configuration, and agree on the newest state in the end', () => {
    fc.assert(
      fc.property(fc.array(operation, { maxLength: 40 }), (operations) => {
        const model = new RestoredStoreModel();
        for (const item of operations) {
          model.clock.advance(100);
          if (item.kind === 'register') model.register(item.id);
          else if (item.kind === 'remove') model.remove(item.id);
          else if (item.kind === 'configure') model.configure(model.version + 2);
          else if (item.kind === 'domain') model.setDomainOut(!model.isDomainOut);
          else if (item.kind === 'copy') model.copy();
          else if (item.kind === 'restore') model.restore();
          else if (item.kind === 'rewrite') model.rewrite();
          else if ('to' in item) model.exchange(item.member, item.to);
          else if ('member' in item && item.kind === 'read') model.read(item.member);
          else if ('member' in item) model.restart(item.member);
        }
        for (let index = 0; index < MODEL_MEMBERS; index += 1) model.read(index);
        model.rewrite();
        for (let index = 0; index < MODEL_MEMBERS; index += 1) model.read(index);
        model.clock.advance(REGISTRATION_RENEWAL_GRACE_MS);
        for (const { state, used, versions } of model.members) {
          state.removeExpired();
          expect([...used.keys()]).to.have.members([...model.live]);
          expect(state.configurationVersion).to.equal(model.version);
          expect(state.isDomainOut(MODEL_DOMAIN)).to.equal(model.isDomainOut);
          expect(versions).to.deep.equal([...versions].sort((left, right) => left - right));
        }
      }),
      { ...seedOption, numRuns: 1_000 },
    );
  });

  // Guards against an instance that is used again because a copy holds its registration, which the
  // member has seen removed.
  it('do not use an instance again that they have seen leave', () => {
    const model = new RestoredStoreModel();
    model.register('x');
    model.register('y');
    model.copy();
    model.read(0);
    model.remove('x');
    model.read(0);
    model.restore();
    model.read(0);
    model.exchange(0, 1);
    expect([...model.members[0]!.used.keys()]).to.deep.equal(['y']);
    expect([...model.members[1]!.used.keys()]).to.deep.equal(['y']);
    model.register('x');
    model.read(0);
    expect([...model.members[0]!.used.keys()]).to.have.members(['x', 'y']);
  });

  // Guards against a member that has just started and brings the content of a copy to the others.
  it('do not take an older state from a member that knows only the copy', () => {
    const model = new RestoredStoreModel();
    model.register('x');
    model.register('y');
    model.configure(2);
    model.copy();
    model.read(0);
    model.configure(4);
    model.remove('x');
    model.read(0);
    model.restore();
    model.restart(1);
    model.read(1);
    model.exchange(1, 0);
    expect(model.members[0]!.state.configurationVersion).to.equal(4);
    expect([...model.members[0]!.used.keys()]).to.deep.equal(['y']);
    model.exchange(0, 1);
    expect(model.members[1]!.state.configurationVersion).to.equal(4);
  });

  // Guards against the removal of running instances that a member does not know which started before
  // they registered again.
  it('keep instances that only the copy lacks when a started member sends its whole state', () => {
    const model = new RestoredStoreModel();
    model.register('x');
    model.copy();
    model.register('y');
    model.read(0);
    model.restore();
    model.restart(1);
    model.read(1);
    model.exchange(1, 0);
    const [{ state, used }] = model.members as [(typeof model.members)[number]];
    expect([...used.keys()]).to.have.members(['x', 'y']);
    model.clock.advance(REGISTRATION_RENEWAL_GRACE_MS);
    state.removeExpired();
    expect([...used.keys()]).to.deep.equal(['x']);
  });

  // Guards against a failure domain that is used again because the store is read again, after its
  // records have expired, before the operators have written again.
  it('keep a failure domain out of service when the restored store is read twice', () => {
    const model = new RestoredStoreModel();
    model.copy();
    model.setDomainOut(true);
    model.read(0);
    model.restore();
    model.read(0);
    const [{ state }] = model.members as [(typeof model.members)[number]];
    state.replaceOperatorState({ storeEra: 1, changes: [], nextOffset: 0 });
    expect(state.isDomainOut(MODEL_DOMAIN)).to.equal(true);
    model.clock.advance(REGISTRATION_RENEWAL_GRACE_MS);
    state.removeExpired();
    expect(state.isDomainOut(MODEL_DOMAIN)).to.equal(false);
  });
});
