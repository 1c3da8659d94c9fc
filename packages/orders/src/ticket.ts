import type { MemberId } from '@bronzelift/common';

import { CLOCK_SKEW_MS, MAX_CALLER_PART_LENGTH, MAX_KEY_LENGTH } from './constants.js';

import type { OrderKey, Ticket } from './types.js';

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9_-]{0,47}$/;
const CALLER_PART_PATTERN = /^[A-Za-z0-9_.-]+$/;
const TIME_PATTERN = /^[0-9]{1,15}$/;
const VERSION = 'v1';
const NO_MEMBER = '-';
const FIELD_COUNT = 6;
const KEY_SEPARATOR = '~';

/** Result of parsing a ticket or a key: the value, or the reason why the text is invalid. */
export type Parsed<T> =
  | { readonly kind: 'ok'; readonly value: T }
  | { readonly kind: 'rejected'; readonly reason: string };

const rejected = (reason: string): { kind: 'rejected'; reason: string } => ({
  kind: 'rejected',
  reason,
});

const parseMember = (vmId = '', incarnation = ''): MemberId | undefined => {
  if (!NAME_PATTERN.test(vmId) || !NAME_PATTERN.test(incarnation)) return undefined;
  return { vmId, incarnation };
};

const formatTicketMember = (member: MemberId | undefined): string => {
  if (member === undefined) return `${NO_MEMBER}.${NO_MEMBER}`;
  if (parseMember(member.vmId, member.incarnation) === undefined) {
    throw new RangeError(`"${member.vmId}" or "${member.incarnation}" is not allowed in a ticket`);
  }
  return `${member.vmId}.${member.incarnation}`;
};

/** Formats a ticket as text. Throws RangeError if a name has characters not allowed in tickets. */
export const formatTicket = (ticket: Ticket): string =>
  [
    VERSION,
    formatTicketMember(ticket.home),
    formatTicketMember(ticket.witness),
    Math.trunc(ticket.issuedAtMs),
  ].join('.');

/** Parses a ticket; checks its format, but not its age. */
export const parseTicket = (text: string): Parsed<Ticket> => {
  if (text.length > MAX_KEY_LENGTH) return rejected('ticket is too long');
  const fields = text.split('.');
  if (fields[0] !== VERSION) return rejected(`ticket does not start with "${VERSION}."`);
  if (fields.length !== FIELD_COUNT) return rejected(`ticket does not have ${FIELD_COUNT} fields`);
  const home = parseMember(fields[1], fields[2]);
  if (home === undefined) return rejected('home is malformed');
  const hasWitness = fields[3] !== NO_MEMBER || fields[4] !== NO_MEMBER;
  const witness = hasWitness ? parseMember(fields[3], fields[4]) : undefined;
  if (hasWitness && witness === undefined) return rejected('witness is malformed');
  if (witness?.vmId === home.vmId) return rejected('home and witness are the same VM');
  const issuedAt = fields[5] ?? '';
  if (!TIME_PATTERN.test(issuedAt)) return rejected('time of issue is malformed');
  return { kind: 'ok', value: { home, witness, issuedAtMs: Number(issuedAt) } };
};

/** Formats an idempotency key: the ticket and the caller's part, separated by `~`. */
export const formatOrderKey = (ticket: Ticket, callerPart: string): string =>
  `${formatTicket(ticket)}${KEY_SEPARATOR}${callerPart}`;

/** Parses an idempotency key; checks its format, but not the age of its ticket. */
export const parseOrderKey = (text: string): Parsed<OrderKey> => {
  if (text === '') return rejected('idempotency key is missing');
  if (text.length > MAX_KEY_LENGTH) {
    return rejected(`idempotency key is longer than ${MAX_KEY_LENGTH} characters`);
  }
  const separator = text.indexOf(KEY_SEPARATOR);
  if (separator < 0) return rejected('idempotency key does not have the form <ticket>~<name>');
  const callerPart = text.slice(separator + 1);
  if (callerPart === '' || callerPart.length > MAX_CALLER_PART_LENGTH) {
    return rejected(`part after "~" does not have 1 to ${MAX_CALLER_PART_LENGTH} characters`);
  }
  if (!CALLER_PART_PATTERN.test(callerPart)) {
    return rejected('part after "~" contains characters other than A-Z a-z 0-9 _ . -');
  }
  const ticket = parseTicket(text.slice(0, separator));
  if (ticket.kind === 'rejected') return ticket;
  return { kind: 'ok', value: { text, ticket: ticket.value, callerPart } };
};

/**
 * Whether a ticket was issued further in the future than clock differences explain. Such a ticket
 * would still be within the retention after the entries of its keys have expired.
 */
export const isFromFuture = (ticket: Ticket, nowMs: number): boolean =>
  ticket.issuedAtMs > nowMs + CLOCK_SKEW_MS;
