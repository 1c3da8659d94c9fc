/** More records than a stream of the store receives during one era. */
const RECORDS_PER_ERA = 2 ** 40;

/**
 * Combines the era of the store and an offset into a position that orders records across eras. A
 * store that is restored from a copy begins a new era and gives offsets out again.
 */
export const createPosition = (storeEra: number, offset: number): number =>
  storeEra * RECORDS_PER_ERA + offset;

/** Returns the era of a position; -1 for a position before all records. */
export const getEra = (position: number): number => Math.floor(position / RECORDS_PER_ERA);

/** Returns the offset of a position within its era. */
export const getOffset = (position: number): number =>
  position - getEra(position) * RECORDS_PER_ERA;

/** Returns the offset of a position, or the position itself if it is before all records. */
export const toOffset = (position: number): number =>
  position < 0 ? position : getOffset(position);

/** Formats a position for the log as era and offset, such as `1:4021`. */
export const formatPosition = (position: number | undefined): string =>
  position === undefined || position < 0 ? 'none' : `${getEra(position)}:${getOffset(position)}`;
