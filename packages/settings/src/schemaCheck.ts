import { z } from 'zod';

import { ID_PATTERN, MAX_ID_LENGTH } from './constants.js';
import { findLine } from './iniDocument.js';
import type { IniDocument, IniProblem, IniSection } from './types.js';
import { parseNumericEndpoint, quote } from './utils.js';

const WHOLE_NUMBER = /^[0-9]{1,15}$/;

/** Schema of a whole number from `min` to `max`, both inclusive. */
export const wholeNumber = (min: number, max: number, unit: string) => {
  const expected = `a whole number of ${unit} from ${min} to ${max}`;
  return z
    .string({ error: expected })
    .regex(WHOLE_NUMBER, expected)
    .transform(Number)
    .refine((value) => value >= min && value <= max, expected);
};

/** Schema of a number with at most three decimals from `min` to `max`, both inclusive. */
export const decimalNumber = (min: number, max: number, unit: string) => {
  const expected = `a number of ${unit} from ${min} to ${max}`;
  return z
    .string({ error: expected })
    .regex(/^[0-9]{1,9}(?:\.[0-9]{1,3})?$/, expected)
    .transform(Number)
    .refine((value) => value >= min && value <= max, expected);
};

/** Schema of an id or name; `label` names it in the message. */
export const identifier = (label: string, pattern = ID_PATTERN) => {
  const dots = pattern === ID_PATTERN ? 'dots, ' : '';
  const expected =
    `${label}: 1 to ${MAX_ID_LENGTH} letters, digits, ${dots}hyphens and underscores, ` +
    'a letter or digit first';
  return z.string({ error: expected }).max(MAX_ID_LENGTH, expected).regex(pattern, expected);
};

/** Schema of an IPv4 address with a port. */
export const endpoint = () => {
  const expected = 'a numeric address and port such as 127.0.0.1:4100';
  return z.string({ error: expected }).transform((text, context) => {
    const parsed = parseNumericEndpoint(text);
    if (parsed !== undefined) return parsed;
    context.addIssue({ code: 'custom', message: expected });
    return z.NEVER;
  });
};

/** Schema of a value that is one of `words`. */
export const oneOf = <const Words extends readonly [string, ...string[]]>(words: Words) =>
  z.enum(words, { error: `one of ${words.join(', ')}` });

/** Result of validating one section: its value, or its problems. */
export type SectionCheck<T> =
  | { readonly ok: true; readonly value: T }
  | { readonly ok: false; readonly problems: readonly IniProblem[] };

const toProblems = (
  document: IniDocument,
  section: IniSection,
  values: Readonly<Record<string, string>>,
  issue: z.core.$ZodIssue,
): IniProblem[] => {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({
      file: document.file,
      line: section.entries.find((entry) => entry.key === key)?.line ?? section.line,
      key: `[${section.name}] ${key}`,
      expected: 'a known key',
    }));
  }
  const key = String(issue.path[0] ?? '');
  const value = values[key];
  return [
    {
      file: document.file,
      line: section.entries.find((entry) => entry.key === key)?.line ?? section.line,
      key: `[${section.name}] ${key}`,
      expected: issue.message,
      ...(value === undefined ? {} : { found: quote(value) }),
    },
  ];
};

/** Validates the keys of one section against a strict object schema. */
export const checkSection = <Schema extends z.ZodType>(
  document: IniDocument,
  section: IniSection,
  schema: Schema,
): SectionCheck<z.output<Schema>> => {
  const values = Object.fromEntries(section.entries.map((entry) => [entry.key, entry.value]));
  const parsed = schema.safeParse(values);
  if (parsed.success) return { ok: true, value: parsed.data };
  const problems = parsed.error.issues.flatMap((issue) =>
    toProblems(document, section, values, issue),
  );
  return { ok: false, problems };
};

/** Creates a problem of a key or section, with the line on which it is found. */
export const createProblem = (
  document: IniDocument,
  sectionName: string,
  key: string | undefined,
  expected: string,
  found?: string,
): IniProblem => ({
  file: document.file,
  line: findLine(document, sectionName, key),
  key: key === undefined ? `[${sectionName}]` : `[${sectionName}] ${key}`,
  expected,
  ...(found === undefined ? {} : { found: quote(found) }),
});
