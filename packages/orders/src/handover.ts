import { assertNever, formatMember, isSameMember } from '@bronzelift/common';

import type { MemberId } from '@bronzelift/common';
import { MAX_REPORTS_PER_MESSAGE } from './constants.js';
import { parseOrderKey } from './ticket.js';

import type { Handover, HandoverPart, OrderEntry } from './types.js';

const addEntry = (handover: Handover, key: string, entry: OrderEntry): void => {
  switch (entry.kind) {
    case 'completed':
      handover.completions.push({ key, requestHash: entry.requestHash, answer: entry.answer });
      return;
    case 'claiming':
    case 'running':
    case 'unknown':
      handover.claimedKeys.push(key);
      return;
    case 'claimed':
    case 'taken-over':
      return;
    default:
      assertNever(entry);
  }
};

/** Groups the entries of a home by witness; skips keys of other homes or without a witness. */
export const collectHandovers = (
  entries: readonly [string, OrderEntry][],
  home: MemberId,
): Handover[] => {
  const byWitness = new Map<string, Handover>();
  for (const [text, entry] of entries) {
    const key = parseOrderKey(text);
    if (key.kind === 'rejected') continue;
    const { ticket } = key.value;
    if (ticket.witness === undefined || !isSameMember(ticket.home, home)) continue;
    const name = formatMember(ticket.witness);
    const handover = byWitness.get(name) ?? {
      witness: ticket.witness,
      claimedKeys: [],
      completions: [],
    };
    byWitness.set(name, handover);
    addEntry(handover, text, entry);
  }
  return [...byWitness.values()];
};

/** Splits a handover into messages of limited size; only the last one has `final` set. */
export const toHandoverParts = (home: MemberId, handover: Handover): HandoverPart[] => {
  const { claimedKeys, completions } = handover;
  const parts: HandoverPart[] = [];
  const count = Math.max(claimedKeys.length, completions.length, 1);
  for (let start = 0; start < count; start += MAX_REPORTS_PER_MESSAGE) {
    const end = start + MAX_REPORTS_PER_MESSAGE;
    parts.push({
      home,
      claimedKeys: claimedKeys.slice(start, end),
      completions: completions.slice(start, end),
      final: end >= count,
    });
  }
  return parts;
};
