import { readFileSync } from 'node:fs';

import type { Result } from 'ts-results';
import { z } from 'zod';

import { describeError } from '@bronzelift/common';

import { ENTRY_VM_ID_PATTERN, SETTINGS_DEFAULTS, FRESHNESS_MS } from './constants.js';
import { readIniDocument } from './iniDocument.js';
import { Err, Ok } from './results.js';
import { checkSection, createProblem, endpoint, identifier, wholeNumber } from './schemaCheck.js';
import type { EntrySettings, IniDocument, IniSection, SettingsProblem } from './types.js';
import { sortAndLimitProblems, parseNumericEndpoint } from './utils.js';

const MILLISECONDS = 'milliseconds';
const MAX_PORT = 65_535;
const HOUR_MS = 3_600_000;
const YEAR_MS = 365 * 24 * HOUR_MS;

const hostSchema = () => {
  const expected = 'a numeric address such as 127.0.0.1';
  return z
    .string({ error: expected })
    .refine((text) => parseNumericEndpoint(`${text}:1`) !== undefined, expected);
};

const listenSchema = z.strictObject({
  host: hostSchema(),
  port: wholeNumber(1, MAX_PORT, 'the TCP port'),
});

const { log, vmList } = SETTINGS_DEFAULTS;

const SECTION_SCHEMAS = {
  entry: z
    .strictObject({
      vm_id: identifier('a VM id', ENTRY_VM_ID_PATTERN),
      failure_domain: identifier('a failure domain'),
    })
    .transform((keys) => ({ vmId: keys.vm_id, failureDomainId: keys.failure_domain })),
  caller: listenSchema,
  peer: listenSchema,
  admin: listenSchema,
  log: z
    .strictObject({
      address: endpoint(),
      read_wait_ms: wholeNumber(0, 60_000, MILLISECONDS).default(log.readWaitMs),
      retention_ms: wholeNumber(10_000, YEAR_MS, MILLISECONDS).default(log.retentionMs),
    })
    .transform((keys) => ({
      address: keys.address,
      readWaitMs: keys.read_wait_ms,
      retentionMs: keys.retention_ms,
    })),
  vm_list: z
    .strictObject({
      address: endpoint(),
      poll_interval_ms: wholeNumber(10, HOUR_MS, MILLISECONDS).default(vmList.pollIntervalMs),
    })
    .transform((keys) => ({ address: keys.address, pollIntervalMs: keys.poll_interval_ms })),
};

type SectionName = keyof typeof SECTION_SCHEMAS;
type SectionValues = { [Name in SectionName]?: z.output<(typeof SECTION_SCHEMAS)[Name]> };

const SECTION_NAMES = Object.keys(SECTION_SCHEMAS) as SectionName[];
const REQUIRED_SECTIONS: ReadonlySet<string> = new Set([
  'entry',
  'caller',
  'peer',
  'admin',
  'log',
  'vm_list',
]);

const readSection = (
  document: IniDocument,
  name: SectionName,
  values: Record<string, unknown>,
): readonly SettingsProblem[] => {
  const present = document.sections.find((section) => section.name === name);
  if (present === undefined && REQUIRED_SECTIONS.has(name)) {
    return [createProblem(document, name, undefined, 'the section to be present')];
  }
  const section: IniSection = present ?? { name, line: 0, entries: [] };
  const check = checkSection(document, section, SECTION_SCHEMAS[name]);
  if (!check.ok) return check.problems;
  Object.assign(values, { [name]: check.value });
  return [];
};

const findUnknownSections = (document: IniDocument): SettingsProblem[] =>
  document.sections
    .filter((section) => !(SECTION_NAMES as string[]).includes(section.name))
    .map((section) =>
      createProblem(
        document,
        section.name,
        undefined,
        `one of the sections ${SECTION_NAMES.join(', ')}`,
      ),
    );

/** Checks rules that concern several keys, or a key and a constant. */
const checkCrossKeyRules = (document: IniDocument, values: SectionValues): SettingsProblem[] => {
  const problems: SettingsProblem[] = [];
  if (values.log && values.log.readWaitMs >= FRESHNESS_MS) {
    const expected = `less than ${FRESHNESS_MS}, because the control state is no longer fresh after that time`;
    problems.push(createProblem(document, 'log', 'read_wait_ms', expected));
  }
  const listening = (['caller', 'peer', 'admin'] as const).filter((name) => values[name]);
  listening.forEach((name, index) => {
    const conflicting = listening
      .slice(0, index)
      .find(
        (other) =>
          values[name]!.port !== 0 &&
          values[name]!.port === values[other]!.port &&
          values[name]!.host === values[other]!.host,
      );
    if (conflicting === undefined) return;
    problems.push(
      createProblem(document, name, 'port', `a port other than that of [${conflicting}]`),
    );
  });
  return problems;
};

/** Parses and validates the text of a settings file; returns all problems together. */
export const parseSettings = (
  text: string,
  file: string,
): Result<EntrySettings, SettingsProblem[]> => {
  const document = readIniDocument(text, file);
  const values: SectionValues = {};
  const problems = [
    ...document.problems,
    ...findUnknownSections(document),
    ...SECTION_NAMES.flatMap((name) => readSection(document, name, values)),
    ...checkCrossKeyRules(document, values),
  ];
  if (problems.length > 0) return Err(sortAndLimitProblems(problems));
  const { vm_list: vmListValues, ...others } = values as Required<SectionValues>;
  return Ok({ ...others, vmList: vmListValues });
};

/** Reads and validates the settings file; an unreadable file is returned as a problem. */
export const loadSettings = (path: string): Result<EntrySettings, SettingsProblem[]> => {
  let text: string;
  try {
    // eslint-disable-next-line n/no-sync -- read once, before the process serves requests
    text = readFileSync(path, 'utf8');
  } catch (error) {
    const expected = `a readable file (${describeError(error)})`;
    return Err([{ file: path, line: 0, key: 'file', expected }]);
  }
  return parseSettings(text, path);
};
