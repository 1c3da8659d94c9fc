import { expect } from 'chai';
import fc from 'fast-check';

import { formatProblem, loadSettings, parseSettings, readIniDocument } from '../src/index.js';

const SEED = process.env.SEED === undefined ? {} : { seed: Number(process.env.SEED) };

const VALID = `
[entry]
vm_id = entry-1
failure_domain = nyeri
[caller]
host = 127.0.0.1
port = 8000
[peer]
host = 127.0.0.1
port = 8001
[admin]
host = 127.0.0.1
port = 8002
[log]
address = 127.0.0.1:4100
[vm_list]
address = 127.0.0.1:4200 ; the development stand-in
`;

const describeProblems = (text: string): string[] => {
  const parsed = parseSettings(text, 'entryd.ini');
  return parsed.ok ? [] : parsed.val.map(formatProblem);
};

describe('parseSettings', () => {
  it('uses the documented defaults for keys that are missing in the file', () => {
    const settings = parseSettings(VALID, 'entryd.ini').unwrap();
    expect(settings.entry).to.deep.equal({ vmId: 'entry-1', failureDomainId: 'nyeri' });
    expect(settings.log).to.include({ readWaitMs: 1000, retentionMs: 86_400_000 });
    expect(settings.vmList.address).to.deep.equal({ host: '127.0.0.1', port: 4200 });
    expect(settings.vmList.pollIntervalMs).to.equal(1000);
  });

  it('reports all problems at one start, each with its line and key', () => {
    const text = VALID.replace('port = 8001', 'port = 80x')
      .replace('address = 127.0.0.1:4100', 'address = localhost:4100')
      .replace('[entry]', '[entry]\ncolour = red')
      .replace('[vm_list]', 'read_wait_ms = 20\nread_wait_ms = 21\n[vm_list]')
      .concat('[cache]\nsize = 1\n');
    expect(describeProblems(text)).to.deep.equal([
      'entryd.ini:3: [entry] colour: expected a known key',
      'entryd.ini:11: [peer] port: expected a whole number of the TCP port from 1 to 65535, ' +
        'found "80x"',
      'entryd.ini:16: [log] address: expected a numeric address and port such as ' +
        '127.0.0.1:4100, found "localhost:4100"',
      'entryd.ini:18: [log] read_wait_ms: expected a key once; it is already on line 17',
      'entryd.ini:21: [cache]: expected one of the sections entry, caller, peer, admin, log, ' +
        'vm_list',
    ]);
  });

  it('rejects a read wait after which the control state would be stale between two reads', () => {
    const [problem] = describeProblems(
      VALID.replace('[vm_list]', 'read_wait_ms = 3000\n[vm_list]'),
    );
    expect(problem).to.equal(
      'entryd.ini:16: [log] read_wait_ms: expected less than 3000, because the control ' +
        'state is no longer fresh after that time',
    );
  });

  it('reports a missing section and an unreadable file instead of throwing', () => {
    expect(describeProblems(VALID.replace('[log]\naddress = 127.0.0.1:4100\n', ''))).to.deep.equal([
      'entryd.ini: [log]: expected the section to be present',
    ]);
    expect(loadSettings('/nonexistent/entryd.ini').ok).to.equal(false);
  });

  it('rejects a VM id with a dot, because dots separate the parts of a ticket', () => {
    expect(describeProblems(VALID.replace('entry-1', 'entry.1'))).to.have.length(1);
  });
});

describe('readIniDocument', () => {
  const unusual: readonly (readonly [string, string])[] = [
    ['a repeated section', '[a]\nx = 1\n[a]\ny = 2'],
    ['a repeated key', '[a]\nx = 1\nx = 2'],
    ['a list key', '[a]\nx[] = 1'],
    ['a section with brackets', '[a]b]\nx = 1'],
    ['an unclosed section', '[a\nx = 1'],
    ['a section of the prototype', '[__proto__]\nx = 1'],
    ['a key of the prototype', '[a]\n__proto__ = 1'],
    ['a key before any section', 'x = 1'],
    ['a key without a value', '[a]\nx'],
    ['an empty value', '[a]\nx = ; nothing'],
    ['a quoted value', '[a]\nx = "1"'],
    ['a backslash', '[a]\nx = a\\;b'],
    ['a value cut by a comment sign', '[a]\nx = a#b'],
    ['a control character', '[a]\nx = 1\u0000'],
    ['a line separator', '[a]\nx = 1\u2028y = 2'],
  ];
  unusual.forEach(([name, text]) => {
    it(`reports ${name}, which the ini library would accept silently`, () => {
      expect(readIniDocument(text, 'f').problems).to.have.length.of.at.least(1);
    });
  });

  it('stops early in a section with very many keys, which would take quadratic time', () => {
    const keys = Array.from({ length: 300_000 }, (_, index) => `k${index} = 1`);
    const { problems } = readIniDocument(['[a]', ...keys].join('\n'), 'f');
    expect(problems[0]!.expected).to.equal('at most 100 keys in a section');
    expect(problems).to.have.length(101);
  });

  // Guards against names and values whose meaning the ini library changes.
  it('does not split names at dots, and reads true and null as text', () => {
    const document = readIniDocument('[instance 10.0.0.1]\r\nx = true\r\ny=null # c', 'f');
    expect(document.problems).to.deep.equal([]);
    expect(document.sections[0]!.name).to.equal('instance 10.0.0.1');
    expect(document.sections[0]!.entries.map((entry) => entry.value)).to.deep.equal([
      'true',
      'null',
    ]);
  });

  it('never throws, and never accepts a value that differs from the text on its line', () => {
    const pieces = fc.constantFrom('[a]\n', 'a', '.', ' ', '=', '\n', ';', '#', '"', '\\', '\r');
    const text = fc.oneof(
      fc.string({ unit: 'binary' }),
      fc.array(pieces).map((parts) => `[b]\na = 1${parts.join('')}`),
    );
    fc.assert(
      fc.property(text, (input) => {
        const document = readIniDocument(input, 'f');
        if (document.problems.length > 0) return;
        const lines = input.split(/\r\n|\n|\r/);
        document.sections
          .flatMap((section) => section.entries)
          .forEach((entry) => {
            const written = lines[entry.line - 1]!.replace(/^[^=]*=/, '').replace(/\s[;#].*$/, '');
            expect(entry.value).to.equal(written.trim());
          });
      }),
      { numRuns: 3000, ...SEED },
    );
  });
});
