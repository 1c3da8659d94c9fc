import { expect } from 'chai';
import fc from 'fast-check';

import {
  formatOrderKey,
  formatTicket,
  isFromFuture,
  parseOrderKey,
  parseTicket,
} from '../src/index.js';

const seed = process.env.SEED;
const parameters = seed === undefined ? {} : { seed: Number(seed) };
const name = fc.stringMatching(/^[A-Za-z0-9][A-Za-z0-9_-]{0,47}$/);
const member = fc.record({ vmId: name, incarnation: name });
const ticket = fc
  .record({
    home: member,
    witness: fc.option(member, { nil: undefined }),
    issuedAtMs: fc.nat(2 ** 31),
  })
  .filter(({ home, witness }) => home.vmId !== witness?.vmId);

describe('idempotency keys', () => {
  it('parses a formatted key unchanged, so that every member reads the same home and witness', () => {
    fc.assert(
      fc.property(ticket, fc.stringMatching(/^[A-Za-z0-9_.-]{1,128}$/), (value, callerPart) => {
        const text = formatOrderKey(value, callerPart);
        const expected = { text, ticket: value, callerPart };
        expect(parseOrderKey(text)).to.deep.equal({ kind: 'ok', value: expected });
        expect(parseTicket(formatTicket(value))).to.deep.equal({ kind: 'ok', value });
      }),
      parameters,
    );
  });

  it('rejects malformed keys with a reason instead of running orders under ambiguous keys', () => {
    const valid = 'v1.vm0.i0.vm1.i1.1700000000000';
    const rejected = [
      '',
      valid,
      `${valid}~`,
      `${valid}~${'a'.repeat(129)}`,
      `${valid}~a b`,
      `${valid}~a~b`,
      `v2${valid.slice(2)}~a`,
      'v1.vm0.i0.vm1.i1~a',
      'v1.vm0.i0.-.i1.17~a',
      'v1.vm0.i0.vm0.i1.17~a',
      'v1.-.-.vm0.i1.17~a',
      'v1.vm0.i0.vm1.i1.1e9~a',
      `v1.${'a'.repeat(49)}.i0.-.-.17~a`,
      `${valid}${'0'.repeat(400)}~a`,
    ];
    for (const text of rejected) expect(parseOrderKey(text).kind, text).to.equal('rejected');
    expect(() =>
      formatTicket({ home: { vmId: 'a.b', incarnation: 'i' }, witness: undefined, issuedAtMs: 1 }),
    ).to.throw(RangeError);
    fc.assert(
      fc.property(fc.string(), (text) => {
        expect(parseOrderKey(text).kind).to.equal('rejected');
      }),
      parameters,
    );
  });

  it('detects tickets from the future, which would outlive the entries of their keys', () => {
    const future = {
      home: { vmId: 'a', incarnation: 'b' },
      witness: undefined,
      issuedAtMs: 200_000,
    };
    expect(isFromFuture(future, 139_999)).to.equal(true);
    expect(isFromFuture(future, 140_000)).to.equal(false);
  });
});
