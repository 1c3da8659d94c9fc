import { readFileSync } from 'node:fs';

import {
  DEFAULT_SETTINGS_PATH,
  SETTINGS_PATH_VARIABLE,
  createSettingsError,
  readSettings,
} from '@bronzelift/platform';
import type { PlatformSettings } from '@bronzelift/platform';

/** Exit code for settings or options that are wrong. */
export const EXIT_CODE_BAD_SETTINGS = 2;

/** Path of the settings file of this process. */
export const findSettingsPath = (): string =>
  process.env[SETTINGS_PATH_VARIABLE] ?? DEFAULT_SETTINGS_PATH;

/** Reads a settings file; throws a StepError that names all mistakes. */
export const loadSettings = (path: string): PlatformSettings => {
  // eslint-disable-next-line n/no-sync -- read once, before the process does anything else
  const result = readSettings(readFileSync(path, 'utf8'));
  if (result.kind === 'mistaken') throw createSettingsError(path, result.mistakes);
  return result.settings;
};
