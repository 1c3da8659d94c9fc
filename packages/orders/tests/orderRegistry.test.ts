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
    const beginResult = registry.begin(key, HASH);
    if (beginResult.kind !== 'start') throw new Error(beginResult.kind);
    registry.startRun(key, beginResult.attempt, 'granted');
    return beginResult.attempt;
  };

  const complete = (key: OrderKey, size: number): void => {
    const attempt = start(key);
    registry.markSent(key, attempt);
    registry.complete(key, attempt, answerOf(size));
  };

  const codeOf = (key: OrderKey): string => {
    const beginResult = registry.begin(key, HASH);
    return beginResult.kind === 'answer'
      ? `${beginResult.answer.outcome} ${beginResult.answer.code}`
      : beginResult.kind;
  };

  beforeEach(() => setUp());

  it('keeps an entry as long as its ticket is accepted, so that a retry cannot run the order again', () => {
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

  // Guards against a truncated body in the response to a retry.
  it('limits the stored bodies, and answers answer-not-kept for a body beyond the limit', () => {
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
    const beginResult = registry.begin(key, 'other');
    const reused = { outcome: 'unknown', code: OrderCode.keyReused };
    expect(beginResult).to.deep.equal({ kind: 'answer', answer: reused });
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

  // Guards against a second run, and against answering not-run for a sent order without evidence that
  // it did not run.
  it('reports a second send of an order, and the refusal of an order that may have run', () => {
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

  it('repeats a refusal until its retry-after time has passed, and stores a limited number of refusals', () => {
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

  it('leaves keys without an entry to the witness after a handover, since the witness may have run them', () => {
    const [done, open, unseen] = [newKey('done'), newKey('open'), newKey('unseen')];
    complete(done, 1);
    registry.markSent(open, start(open));
    registry.stopHome();
    expect(codeOf(unseen)).to.equal('ask-witness');
    const [handover] = registry.createHandovers(home);
    expect(handover?.claimedKeys).to.deep.equal([open.text]);
    setUp();
    const { witness: witnessSide } = registry;
    const { claimedKeys, completions } = handover!;
    const part = { home, claimedKeys, completions };
    witnessSide.acceptHandover({ ...part, final: false });
    expect(witnessSide.takeover(unseen, HASH, false).kind).to.equal('home-alive');
    witnessSide.acceptHandover({ ...part, final: true });
    expect(witnessSide.takeover(unseen, HASH, false).kind).to.equal('taken-over');
    expect(witnessSide.takeover(open, HASH, false).kind).to.equal('claimed');
    expect(witnessSide.takeover(done, HASH, false).kind).to.equal('completed');
  });
});
