import type { Result } from 'ts-results';

import { formatEndpoint } from '@bronzelift/common';
import {
  Err,
  MAX_REPORTED_PROBLEMS,
  Ok,
  checkSection,
  sortAndLimitProblems,
  quote,
  readIniDocument,
} from '@bronzelift/settings';
import type { IniDocument, IniSection } from '@bronzelift/settings';

import { MAX_CONFIGURATION_BYTES } from './constants.js';
import {
  domainSchema,
  idSchema,
  instanceSchema,
  serviceNameSchema,
  serviceSchema,
} from './schemas.js';
import type {
  Configuration,
  ConfigurationProblem,
  DomainConfiguration,
  InstanceConfiguration,
  ServiceConfiguration,
} from './types.js';

/** Sections that have been parsed so far, and the problems found in them. */
interface Draft {
  readonly document: IniDocument;
  readonly problems: ConfigurationProblem[];
  readonly services: ServiceConfiguration[];
  readonly domains: DomainConfiguration[];
  readonly instances: { readonly instance: InstanceConfiguration; readonly section: IniSection }[];
  /**
   * Names of all services and failure domains that have a section, even an invalid one, so that
   * references to an invalid section are not reported as well.
   */
  readonly declared: { readonly service: Set<string>; readonly domain: Set<string> };
}

const addProblem = (
  draft: Draft,
  section: IniSection,
  key: string | undefined,
  expected: string,
  found?: string,
): void => {
  const entry = section.entries.find((candidate) => candidate.key === key);
  draft.problems.push({
    file: draft.document.file,
    line: entry?.line ?? section.line,
    key: key === undefined ? `[${section.name}]` : `[${section.name}] ${key}`,
    expected,
    ...(found === undefined ? {} : { found: quote(found) }),
  });
};

const checkName = (
  draft: Draft,
  section: IniSection,
  schema: typeof idSchema,
  name: string,
): boolean => {
  const parsed = schema.safeParse(name);
  if (parsed.success) return true;
  addProblem(draft, section, undefined, parsed.error.issues[0]!.message);
  return false;
};

const readService = (draft: Draft, section: IniSection, name: string): void => {
  draft.declared.service.add(name);
  const isValidName = checkName(draft, section, serviceNameSchema, name);
  const check = checkSection(draft.document, section, serviceSchema);
  if (!check.ok) draft.problems.push(...check.problems);
  else if (isValidName) draft.services.push({ name, ...check.value });
};

const readDomain = (draft: Draft, section: IniSection, id: string): void => {
  draft.declared.domain.add(id);
  const isValidName = checkName(draft, section, idSchema, id);
  const check = checkSection(draft.document, section, domainSchema);
  if (!check.ok) draft.problems.push(...check.problems);
  else if (isValidName) draft.domains.push({ id, ...check.value });
};

const readInstance = (draft: Draft, section: IniSection, id: string): void => {
  const isValidName = checkName(draft, section, idSchema, id);
  const check = checkSection(draft.document, section, instanceSchema);
  if (!check.ok) draft.problems.push(...check.problems);
  else if (isValidName) draft.instances.push({ instance: { id, ...check.value }, section });
};

const SECTION_READERS: ReadonlyMap<
  string,
  (draft: Draft, section: IniSection, name: string) => void
> = new Map([
  ['service', readService],
  ['domain', readDomain],
  ['instance', readInstance],
]);

const readSection = (draft: Draft, section: IniSection): void => {
  const [type, name] = section.name.split(' ');
  const reader = SECTION_READERS.get(type!);
  if (reader === undefined || name === undefined) {
    const expected = '[service <name>], [domain <id>] or [instance <id>]';
    addProblem(draft, section, undefined, expected);
    return;
  }
  reader(draft, section, name);
};

/**
 * Rejects two instances with one address: their backend server would be assigned twice its
 * capacity.
 */
const checkAddresses = (draft: Draft): void => {
  const idsByAddress = new Map<string, string>();
  draft.instances.forEach(({ instance, section }) => {
    const address = formatEndpoint(instance.address);
    const other = idsByAddress.get(address);
    idsByAddress.set(address, other ?? instance.id);
    if (other === undefined) return;
    const expected = `an address that no other instance has; this one belongs to ${other}`;
    addProblem(draft, section, 'address', expected, address);
  });
};

const checkReferences = (draft: Draft): void => {
  draft.instances.forEach(({ instance, section }) => {
    if (!draft.declared.service.has(instance.service)) {
      addProblem(draft, section, 'service', 'a service of this file', instance.service);
    }
    if (!draft.declared.domain.has(instance.failureDomainId)) {
      const expected = 'a failure domain of this file';
      addProblem(draft, section, 'failure_domain', expected, instance.failureDomainId);
    }
    if (instance.connections < instance.slots) {
      const expected = `at least as many connections as slots (${instance.slots})`;
      addProblem(draft, section, 'connections', expected, String(instance.connections));
    }
  });
};

/** Rejects an empty file: it is likely truncated and would remove every backend server. */
const checkNotEmpty = (draft: Draft): void => {
  if (draft.declared.service.size > 0 || draft.problems.length > 0) return;
  const expected = 'at least one [service <name>] section';
  draft.problems.push({ file: draft.document.file, line: 0, key: 'file', expected });
};

const createDraft = (document: IniDocument): Draft => ({
  document,
  problems: [...document.problems],
  services: [],
  domains: [],
  instances: [],
  declared: { service: new Set(), domain: new Set() },
});

/**
 * Parses and validates the configuration file.
 *
 * The result depends only on the text and the file name. All problems up to a limit are returned
 * together, each with its line and key.
 */
export const parseConfiguration = (
  text: string,
  fileName: string,
): Result<Configuration, ConfigurationProblem[]> => {
  const sizeBytes = Buffer.byteLength(text, 'utf8');
  if (sizeBytes > MAX_CONFIGURATION_BYTES) {
    const expected = `at most ${MAX_CONFIGURATION_BYTES} bytes`;
    return Err([{ file: fileName, line: 0, key: 'file', expected, found: `${sizeBytes} bytes` }]);
  }
  const draft = createDraft(readIniDocument(text, fileName));
  // The scan stops at the limit, so references to later sections would be reported as unknown.
  if (draft.problems.length <= MAX_REPORTED_PROBLEMS) {
    draft.document.sections.forEach((section) => readSection(draft, section));
    checkAddresses(draft);
    checkReferences(draft);
    checkNotEmpty(draft);
  }
  if (draft.problems.length > 0) return Err(sortAndLimitProblems(draft.problems));
  return Ok({
    services: draft.services,
    domains: draft.domains,
    instances: draft.instances.map(({ instance }) => instance),
  });
};
