import { readFileSync } from 'node:fs';

import {
  DEFAULT_SETTINGS_PATH,
  SETTINGS_PATH_VARIABLE,
  createSettingsError,
  readSettings,
} from '@bronzelift/platform';
import type { PlatformSettings } from '@bronzelift/platform';

/** Exit code for invalid settings or options. */
export const EXIT_CODE_INVALID_SETTINGS = 2;

/** Returns the path of the settings file from the environment, or the default path. */
export const findSettingsPath = (): string =>
  process.env[SETTINGS_PATH_VARIABLE] ?? DEFAULT_SETTINGS_PATH;

/** Reads a settings file; throws a StepError that lists all problems. */
export const loadSettings = (path: string): PlatformSettings => {
  // eslint-disable-next-line n/no-sync -- read once, before the process does anything else
  const result = readSettings(readFileSync(path, 'utf8'));
  if (result.kind === 'mistaken') throw createSettingsError(path, result.problems);
  return result.settings;
};
