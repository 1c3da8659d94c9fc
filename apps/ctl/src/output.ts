import type { Writable } from 'node:stream';

import { createConsola } from 'consola';

/** Prints results to standard output, and errors and warnings to standard error. */
export interface Output {
  print(line: string): void;
  warn(line: string): void;
  fail(line: string): void;
}

const INFO_LEVEL = 3;

/** Creates an output that writes results and errors to the given streams. */
export const createOutput = (stdout: Writable, stderr: Writable): Output => {
  const results = createConsola({
    level: INFO_LEVEL,
    // Scripts parse the results, so they get no prefix.
    reporters: [{ log: ({ args }) => stdout.write(`${args.join(' ')}\n`) }],
  });
  const errors = createConsola({
    level: INFO_LEVEL,
    fancy: false,
    stdout: stderr as NodeJS.WriteStream,
    stderr: stderr as NodeJS.WriteStream,
    formatOptions: { date: false, colors: false },
  });
  return {
    print: (line) => results.log(line),
    warn: (line) => errors.warn(line),
    fail: (line) => errors.error(line),
  };
};

/** Formats rows as lines with aligned columns; the first row is the heading. */
export const formatTable = (rows: readonly (readonly string[])[]): string[] => {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0)),
  );
  return rows.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
};
