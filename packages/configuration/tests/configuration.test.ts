import { expect } from 'chai';
import fc from 'fast-check';

import { formatProblem } from '@bronzelift/settings';

import { parseConfiguration } from '../src/index.js';

const SEED = process.env.SEED === undefined ? {} : { seed: Number(process.env.SEED) };

const VALID = `; loan desk
[service loan-desk]
cold_slots = 2
[domain nyeri]
[domain kirinyaga]
state = out
[instance loan-desk-1]
service = loan-desk
failure_domain = nyeri
vm = vm-7
address = 127.0.0.1:9001
slots = 6
connections = 250
`;

const describeProblems = (text: string): string[] => {
  const parsed = parseConfiguration(text, 'services.ini');
  return parsed.ok ? [] : parsed.val.map(formatProblem);
};

describe('parseConfiguration', () => {
  it('uses the documented defaults for keys that are missing in the file', () => {
    const configuration = parseConfiguration(VALID, 'services.ini').unwrap();
    expect(configuration.services).to.deep.equal([
      {
        name: 'loan-desk',
        coldSlots: 2,
        warmupAnswers: 10,
        probeBudgetMsPerS: 20,
        defaultTimeoutMs: 2000,
        maxBodyBytes: 1_048_576,
      },
    ]);
    expect(configuration.domains).to.deep.equal([
      { id: 'nyeri', state: 'in' },
      { id: 'kirinyaga', state: 'out' },
    ]);
    expect(configuration.instances[0]).to.deep.equal({
      id: 'loan-desk-1',
      service: 'loan-desk',
      failureDomainId: 'nyeri',
      vmId: 'vm-7',
      address: { host: '127.0.0.1', port: 9001 },
      slots: 6,
      connections: 250,
      state: 'in',
    });
  });

  const invalidEdits: readonly (readonly [string, string, string])[] = [
    [
      'service = loan-desk',
      'service = loans',
      '8: [instance loan-desk-1] service: expected a service of this file, found "loans"',
    ],
    [
      '= nyeri',
      '= meru',
      '9: [instance loan-desk-1] failure_domain: expected a failure domain of this file, found "meru"',
    ],
    [
      '127.0.0.1:9001',
      'backend:9001',
      '11: [instance loan-desk-1] address: expected a numeric address and port such as 127.0.0.1:4100, found "backend:9001"',
    ],
    [
      '127.0.0.1:9001',
      '127.0.0.1:0',
      '11: [instance loan-desk-1] address: expected a numeric address and port such as 127.0.0.1:4100, found "127.0.0.1:0"',
    ],
    [
      'slots = 6',
      'slots = 0',
      '12: [instance loan-desk-1] slots: expected a whole number of slots from 1 to 1000, found "0"',
    ],
    [
      'connections = 250',
      'connections = 5',
      '13: [instance loan-desk-1] connections: expected at least as many connections as slots (6), found "5"',
    ],
    [
      'connections = 250\n',
      '',
      '7: [instance loan-desk-1] connections: expected a whole number of connections from 1 to 100000',
    ],
    [
      'vm = vm-7',
      'vm = vm-7\ncolour = red',
      '11: [instance loan-desk-1] colour: expected a known key',
    ],
    [
      '[domain kirinyaga]',
      '[domain nyeri]',
      '5: [domain nyeri]: expected a section once; it is already on line 4',
    ],
    [
      '[domain kirinyaga]',
      '[region kirinyaga]',
      '5: [region kirinyaga]: expected [service <name>], [domain <id>] or [instance <id>]',
    ],
    [
      'state = out',
      'state = half',
      '6: [domain kirinyaga] state: expected one of in, out, found "half"',
    ],
    [
      '[service loan-desk]',
      '[service loan-desk]\n[service bronzelift]',
      '3: [service bronzelift]: expected a name other than bronzelift',
    ],
  ];
  invalidEdits.forEach(([from, to, expected]) => {
    it(`reports the line and key of an invalid edit (${to.trim().replace('\n', ' and ') || 'a missing key'}), so that the operator can find it`, () => {
      expect(describeProblems(VALID.replace(from, to))).to.deep.equal([`services.ini:${expected}`]);
    });
  });

  it('rejects two instances with one address, since their server would get twice its capacity', () => {
    const second = VALID.slice(VALID.indexOf('[instance')).replace('loan-desk-1', 'loan-desk-2');
    expect(describeProblems(VALID + second)).to.have.length(1);
  });

  it('rejects empty and oversized files, so that a truncated file does not remove all instances', () => {
    expect(describeProblems('')).to.deep.equal([
      'services.ini: file: expected at least one [service <name>] section',
    ]);
    const oversized = `${VALID};${'x'.repeat(4 * 1024 * 1024)}`;
    expect(describeProblems(oversized)[0]).to.contain('expected at most 4194304 bytes');
  });

  it('never throws, and never accepts a damaged line as a different valid value', () => {
    const lines = VALID.trim().split('\n');
    const damage = fc.record({
      at: fc.nat(lines.length - 1),
      text: fc.oneof(
        fc.string({ unit: 'binary', minLength: 1 }),
        fc.constantFrom('[', '__proto__=1'),
      ),
    });
    fc.assert(
      fc.property(damage, ({ at, text }) => {
        const damaged = lines.map((line, index) => (index === at ? `${line}${text}` : line));
        const parsed = parseConfiguration(damaged.join('\n'), 'f');
        if (parsed.err) return;
        const [instance] = parsed.val.instances;
        expect(instance!.address.host).to.equal('127.0.0.1');
        expect(parsed.val.services).to.have.length(1);
      }),
      { numRuns: 2000, ...SEED },
    );
  });
});
