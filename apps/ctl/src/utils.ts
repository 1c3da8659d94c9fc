/** Parses a non-negative whole number; undefined when the text is not one. */
export const parseCount = (text: string): number | undefined =>
  /^[0-9]{1,15}$/.test(text) ? Number(text) : undefined;
