import { assertNever, formatEndpoint, parseEndpoint } from '@bronzelift/common';

import type { InstanceDelta } from './controlState.js';
import type { MemberStatus } from './memberTable.js';

/** A message that entry VMs exchange as a datagram. */
export type PeerMessage =
  | { readonly kind: 'heartbeat'; readonly status: MemberStatus }
  /** Hosts of the entry VMs that the sender knows. */
  | { readonly kind: 'members'; readonly hosts: readonly string[] }
  | { readonly kind: 'delta'; readonly status: MemberStatus; readonly delta: InstanceDelta };

const MessageCode = { heartbeat: 1, members: 2, delta: 3 } as const;

const PHASES = ['starting', 'ready', 'leaving'] as const;

const STATUS_FIELDS = 11;

/**
 * Encodes fields by position to save bytes: traffic between failure domains costs money, and most
 * of it is heartbeats.
 */
const encodeStatus = (status: MemberStatus): readonly unknown[] => [
  status.vmId,
  status.incarnation,
  status.failureDomainId,
  formatEndpoint(status.callerEndpoint),
  PHASES.indexOf(status.phase),
  Number(status.isStoreFailing),
  Number(status.isReader),
  Math.round(status.storeReadAgeMs),
  status.operatorRevision,
  status.instanceOffset,
  status.instanceDigest,
];

const decodeStatus = (fields: unknown): MemberStatus | undefined => {
  if (!Array.isArray(fields) || fields.length < STATUS_FIELDS) return undefined;
  const [vmId, incarnation, failureDomainId, endpoint, phase, ...numbers] = fields as unknown[];
  const callerEndpoint = parseEndpoint(String(endpoint));
  const phaseName = PHASES[Number(phase)];
  if (callerEndpoint === undefined || phaseName === undefined) return undefined;
  if (!numbers.every((value) => typeof value === 'number')) return undefined;
  const [isStoreFailing, isReader, storeReadAgeMs, revision, offset, digest] = numbers;
  return {
    vmId: String(vmId),
    incarnation: String(incarnation),
    failureDomainId: String(failureDomainId),
    callerEndpoint,
    phase: phaseName,
    isStoreFailing: isStoreFailing === 1,
    isReader: isReader === 1,
    storeReadAgeMs: storeReadAgeMs!,
    operatorRevision: revision!,
    instanceOffset: offset!,
    instanceDigest: digest!,
  };
};

/** Encodes a message as the bytes of a datagram. */
export const encodeMessage = (message: PeerMessage): Buffer => {
  switch (message.kind) {
    case 'heartbeat':
      return Buffer.from(JSON.stringify([MessageCode.heartbeat, encodeStatus(message.status)]));
    case 'members':
      return Buffer.from(JSON.stringify([MessageCode.members, message.hosts]));
    case 'delta': {
      const fields = [MessageCode.delta, encodeStatus(message.status), message.delta];
      return Buffer.from(JSON.stringify(fields));
    }
    default:
      return assertNever(message);
  }
};

const isDelta = (value: unknown): value is InstanceDelta => {
  const delta = value as Partial<InstanceDelta> | null;
  return Array.isArray(delta?.changed) && Array.isArray(delta.removed);
};

/** Decodes a message; returns undefined for bytes that are no message of this version. */
export const decodeMessage = (data: Buffer): PeerMessage | undefined => {
  let fields: unknown;
  try {
    fields = JSON.parse(data.toString('utf8'));
  } catch {
    return undefined;
  }
  if (!Array.isArray(fields)) return undefined;
  const [code, first, second] = fields as unknown[];
  if (code === MessageCode.members && Array.isArray(first)) {
    return { kind: 'members', hosts: first.filter((host) => typeof host === 'string') };
  }
  const status = decodeStatus(first);
  if (status === undefined) return undefined;
  if (code === MessageCode.heartbeat) return { kind: 'heartbeat', status };
  if (code === MessageCode.delta && isDelta(second)) {
    return { kind: 'delta', status, delta: second };
  }
  return undefined;
};
