import { readFile } from 'node:fs/promises';

import type { LoadResult } from '@bronzelift/load-tool';

/** Reads a result file written by the run command. */
export const readResult = async (path: string): Promise<LoadResult> =>
  JSON.parse(await readFile(path, 'utf8')) as LoadResult;
