import { ManualClock } from '@bronzelift/common';
import { expect } from 'chai';

import {
  ENTRY_LIFETIME_MS,
  OrderCode,
  OrderRegistry,
  RETENTION_MS,
  TICKET_VALIDITY_MS,
  formatOrderKey,
  parseOrderKey,
} from '../src/index.js';

import type { OrderKey, RegistryLimits, StoredAnswer } from '../src/index.js';

const home = { vmId: 'vm0', incarnation: 'i0' };
const witness = { vmId: 'vm1', incarnation: 'i1' };
const HASH = 'hash';
const answerOf = (size: number): StoredAnswer => ({
  status: 200,
  headers: {},
  body: new Uint8Array(size),
});

describe('OrderRegistry', () => {
  let clock: ManualClock;
  let violations: string[];
  let registry: OrderRegistry;

  const setUp = (limits: Partial<RegistryLimits> = {}): void => {
    clock = ManualClock.create();
    violations = [];
    registry = OrderRegistry.create({
      clock,
      limits: { maxEntries: 10, maxBodyBytes: 1000, maxRefusals: 3, ...limits },
      onViolation: (name) => violations.push(name),
    });
  };

  const newKey = (name: string): OrderKey => {
    const ticket = { home, witness, issuedAtMs: clock.wallMs() };
    const parsed = parseOrderKey(formatOrderKey(ticket, name));
    if (parsed.kind === 'rejected') throw new Error(parsed.reason);
    return parsed.value;
  };

  /** Starts an attempt that may be sent; returns its number. */
  const start = (key: OrderKey): number => {
    const begin = registry.begin(key, HASH);
    if (begin.kind !== 'start') throw new Error(begin.kind);
    registry.startRun(key, begin.attempt, 'granted');
    return begin.attempt;
  };

  const complete = (key: OrderKey, size: number): void => {
    const attempt = start(key);
    registry.markSent(key, attempt);
    registry.complete(key, attempt, answerOf(size));
  };

  const codeOf = (key: OrderKey): string => {
    const begin = registry.begin(key, HASH);
    return begin.kind === 'answer' ? `${begin.answer.outcome} ${begin.answer.code}` : begin.kind;
  };

  beforeEach(() => setUp());

  it('keeps an entry as long as its ticket is accepted, so that a retry cannot run again', () => {
    const key = newKey('a');
    clock.advance(TICKET_VALIDITY_MS - 1);
    complete(key, 1);
    const late = newKey('late');
    clock.advance(RETENTION_MS - TICKET_VALIDITY_MS);
    expect(codeOf(key)).to.equal('ran answered');
    expect(codeOf(late)).to.equal(`not-run ${OrderCode.ticketExpired}`);
    clock.advance(ENTRY_LIFETIME_MS - RETENTION_MS + TICKET_VALIDITY_MS);
    expect(codeOf(key)).to.equal(`unknown ${OrderCode.ticketExpired}`);
    expect(registry.stats().entries).to.equal(0);
  });

  it('refuses new orders at its entry limit instead of dropping entries within the retention', () => {
    const keys = Array.from({ length: 10 }, (_, index) => newKey(`k${index}`));
    keys.forEach((key) => complete(key, 1));
    expect(codeOf(newKey('more'))).to.equal(`not-run ${OrderCode.registryFull}`);
    const claim = { key: newKey('claim'), requestHash: HASH, attempt: 1 };
    expect(registry.witness.grantClaim(claim)).to.equal('full');
    expect(registry.witness.takeover(claim.key, HASH, true).kind).to.equal('full');
    keys.forEach((key) => expect(codeOf(key)).to.equal('ran answered'));
    clock.advance(ENTRY_LIFETIME_MS);
    expect(codeOf(newKey('more'))).to.equal('start');
  });

  it('limits the stored bodies and answers answer-not-kept instead of truncating a response', () => {
    const [first, second] = [newKey('a'), newKey('b')];
    complete(first, 900);
    complete(second, 200);
    expect(codeOf(first)).to.equal('ran answered');
    expect(codeOf(second)).to.equal('ran answer-not-kept');
    expect(registry.stats().bodyBytes).to.equal(900);
  });

  it('detects a key that is reused for another order, at the home and at the witness', () => {
    const key = newKey('a');
    complete(key, 1);
    const begin = registry.begin(key, 'other');
    const reused = { outcome: 'unknown', code: OrderCode.keyReused };
    expect(begin).to.deep.equal({ kind: 'answer', answer: reused });
    const claimed = newKey('b');
    registry.witness.grantClaim({ key: claimed, requestHash: HASH, attempt: 1 });
    expect(registry.witness.takeover(claimed, 'other', true).kind).to.equal('key-reused');
  });

  it('ignores a late release of an earlier attempt, which would allow a second run', () => {
    const key = newKey('a');
    registry.witness.grantClaim({ key, requestHash: HASH, attempt: 1 });
    registry.witness.grantClaim({ key, requestHash: HASH, attempt: 2 });
    registry.witness.release(key, 1);
    expect(registry.witness.takeover(key, HASH, true).kind).to.equal('claimed');
    registry.witness.release(key, 2);
    expect(registry.witness.takeover(key, HASH, true).kind).to.equal('taken-over');
    const late = { key, requestHash: HASH, attempt: 2 };
    expect(registry.witness.grantClaim(late)).to.equal('taken-over');
  });

  it('reports a second send, and a refusal after a send without evidence that it did not run', () => {
    const key = newKey('a');
    const attempt = start(key);
    expect(registry.markSent(key, attempt)).to.equal(true);
    expect(registry.markSent(key, attempt)).to.equal(false);
    const refusal = { outcome: 'not-run', code: 'full', retryAfterMs: 10 } as const;
    expect(registry.refuse(key, attempt, refusal)).to.equal(false);
    expect(violations).to.deep.equal(['order-at-most-once', 'not-run-is-true']);
    registry.markNotRun(key, attempt);
    expect(registry.markSent(key, attempt)).to.equal(true);
  });

  it('refuses a refused key again for its retry-after time, for a limited number of keys', () => {
    const refuse = (key: OrderKey): void => {
      const answer = { outcome: 'not-run', code: 'full', retryAfterMs: 100 } as const;
      expect(registry.refuse(key, start(key), answer)).to.equal(true);
    };
    const keys = Array.from({ length: 20 }, (_, index) => newKey(`k${index}`));
    keys.forEach(refuse);
    expect(registry.stats()).to.deep.equal({ entries: 0, refusals: 3, bodyBytes: 0 });
    expect(codeOf(keys[19]!)).to.equal('not-run full');
    clock.advance(100);
    expect(codeOf(keys[19]!)).to.equal('start');
  });

  it('lets the witness decide about unknown keys after a handover, since it may have run them', () => {
    const [done, open, unseen] = [newKey('done'), newKey('open'), newKey('unseen')];
    complete(done, 1);
    registry.markSent(open, start(open));
    registry.stopHome();
    expect(codeOf(unseen)).to.equal('ask-witness');
    const [handover] = registry.createHandovers(home);
    expect(handover?.claimedKeys).to.deep.equal([open.text]);
    setUp();
    const { witness: side } = registry;
    const { claimedKeys, completions } = handover!;
    const part = { home, claimedKeys, completions };
    side.acceptHandover({ ...part, final: false });
    expect(side.takeover(unseen, HASH, false).kind).to.equal('home-alive');
    side.acceptHandover({ ...part, final: true });
    expect(side.takeover(unseen, HASH, false).kind).to.equal('taken-over');
    expect(side.takeover(open, HASH, false).kind).to.equal('claimed');
    expect(side.takeover(done, HASH, false).kind).to.equal('completed');
  });
});
