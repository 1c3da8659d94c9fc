import ini from 'ini';

import { MAX_REPORTED_PROBLEMS, MAX_SECTION_KEYS } from './constants.js';
import type { IniDocument, IniEntry, IniProblem, IniSection } from './types.js';
import { quote } from './utils.js';

const COMMENT_OR_BLANK = /^\s*(?:[;#].*)?$/;
const SECTION = /^\s*\[([^[\]]*)\]\s*(?:[;#].*)?$/;
const SECTION_NAME = /^[A-Za-z0-9][A-Za-z0-9_.-]*(?: [A-Za-z0-9][A-Za-z0-9_.-]*)?$/;
const KEY = /^[A-Za-z][A-Za-z0-9_.-]*$/;
// eslint-disable-next-line no-control-regex -- the pattern finds control characters
const CONTROL_CHARACTERS = /[\u0000-\u0008\u000B\u000C\u000E-\u001F\u007F\u0085\u2028\u2029]/;

const describeInvalidValue = (value: string): string | undefined => {
  if (!/["'\\;#]/.test(value)) return undefined;
  if (/["'\\]/.test(value)) return 'a value without quotes and backslashes';
  if (/\S[;#]/.test(value.replace(/\s[;#].*$/, ''))) {
    return 'a value without ; and # (put a space between a value and a comment)';
  }
  return undefined;
};

interface MutableSection {
  readonly name: string;
  readonly line: number;
  readonly entries: IniEntry[];
}

class IniScanner {
  private readonly sections = new Map<string, MutableSection>();

  private readonly problems: IniProblem[] = [];

  private current: MutableSection | undefined;

  private hasControlCharacters = false;

  private constructor(private readonly file: string) {}

  static create(file: string): IniScanner {
    return new IniScanner(file);
  }

  scan(text: string): IniDocument {
    const lines = text.replace(/^\uFEFF/, '').split(/\r\n|\n|\r/);
    this.hasControlCharacters = CONTROL_CHARACTERS.test(text);
    for (let index = 0; index < lines.length; index += 1) {
      this.readLine(lines[index]!, index + 1);
      if (this.problems.length > MAX_REPORTED_PROBLEMS) break;
    }
    return { file: this.file, sections: [...this.sections.values()], problems: this.problems };
  }

  private readLine(text: string, line: number): void {
    if (this.hasControlCharacters && CONTROL_CHARACTERS.test(text)) {
      this.addProblem(line, 'line', 'text without control characters');
      return;
    }
    if (COMMENT_OR_BLANK.test(text)) return;
    const section = SECTION.exec(text);
    if (section) this.readSectionLine(section[1]!, line);
    else this.readKeyLine(text, line);
  }

  private readSectionLine(rawName: string, line: number): void {
    const name = rawName.trim().replace(/[ \t]+/g, ' ');
    // Keys below an invalid header are collected in a section that is not returned.
    this.current = { name, line, entries: [] };
    if (!SECTION_NAME.test(name)) {
      const expected =
        'a section name of one or two words of letters, digits, dots, hyphens and underscores';
      this.addProblem(line, 'section', expected, `[${rawName}]`);
      return;
    }
    const earlier = this.sections.get(name);
    if (earlier !== undefined) {
      const expected = `a section once; it is already on line ${earlier.line}`;
      this.addProblem(line, `[${name}]`, expected);
      return;
    }
    this.sections.set(name, this.current);
  }

  private readKeyLine(text: string, line: number): void {
    const separator = text.indexOf('=');
    const key = text.slice(0, Math.max(separator, 0)).trim();
    if (separator < 0 || !KEY.test(key)) {
      const expected = 'a line `[section]`, `key = value` or a comment';
      this.addProblem(line, 'line', expected, text);
      return;
    }
    if (this.current === undefined) {
      this.addProblem(line, key, 'a section before the first key');
      return;
    }
    this.readEntry(this.current, key, text.slice(separator + 1).trim(), line);
  }

  private readEntry(section: MutableSection, key: string, rawValue: string, line: number): void {
    const path = `[${section.name}] ${key}`;
    const earlier = section.entries.find((entry) => entry.key === key);
    if (earlier !== undefined) {
      this.addProblem(line, path, `a key once; it is already on line ${earlier.line}`);
      return;
    }
    if (section.entries.length >= MAX_SECTION_KEYS) {
      this.addProblem(line, path, `at most ${MAX_SECTION_KEYS} keys in a section`);
      return;
    }
    const problem = describeInvalidValue(rawValue);
    const value = problem === undefined ? ini.unsafe(rawValue) : rawValue;
    if (problem !== undefined) this.addProblem(line, path, problem, rawValue);
    else if (value === '') this.addProblem(line, path, 'a value after `=`');
    section.entries.push({ key, value, line });
  }

  private addProblem(line: number, key: string, expected: string, found?: string): void {
    this.problems.push({
      file: this.file,
      line,
      key,
      expected,
      ...(found === undefined ? {} : { found: quote(found) }),
    });
  }
}

/**
 * Parses INI text into sections with line numbers.
 *
 * The parser of the `ini` library silently merges repeated sections, nests names with dots, skips
 * `__proto__` and cuts values at `;`, and provides no line numbers. This parser reports ambiguous
 * lines as problems and uses only the library's value decoder.
 */
export const readIniDocument = (text: string, file: string): IniDocument =>
  IniScanner.create(file).scan(text);

/** Finds the line of a key, or of its section if the key is missing; 0 if both are missing. */
export const findLine = (
  document: IniDocument,
  sectionName: string,
  key: string | undefined,
): number => {
  const section: IniSection | undefined = document.sections.find(
    (candidate) => candidate.name === sectionName,
  );
  if (section === undefined) return 0;
  const entry = section.entries.find((candidate) => candidate.key === key);
  return entry?.line ?? section.line;
};
