import type { Incarnation, MemberId, VmId } from '@bronzelift/common';

/** Content of a ticket: who decides about the orders whose keys carry it. */
export interface Ticket {
  readonly home: MemberId;
  /** Undefined when the system had a single member at the time of issue. */
  readonly witness: MemberId | undefined;
  readonly issuedAtMs: number;
}

/** A parsed idempotency key. */
export interface OrderKey {
  /** The key as the caller sent it. */
  readonly text: string;
  readonly ticket: Ticket;
  readonly callerPart: string;
}

/** HTTP headers; a list holds the values of a repeated header. */
export type HeaderMap = Readonly<Record<string, string | readonly string[]>>;

/** Response of a backend server, kept for repeats of the order. */
export interface StoredAnswer {
  readonly status: number;
  readonly headers: HeaderMap;
  /** Undefined when the body was too large to be kept. */
  readonly body: Uint8Array | undefined;
}

/** An order as it arrived from a caller or another entry VM. */
export interface OrderRequest {
  /** Text of the idempotency key, empty when there is none. */
  readonly key: string;
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderMap;
  readonly body: Uint8Array;
  /** Unix milliseconds; nothing is sent for this request afterwards. */
  readonly deadlineAtMs: number;
}

/** Answer that an order did not run; it is final for this attempt. */
export interface NotRunAnswer {
  readonly outcome: 'not-run';
  readonly code: string;
  readonly retryAfterMs: number;
  /** Ticket for a new key, when the old one cannot be used any more. */
  readonly newTicket?: string | undefined;
}

/** What the caller is told about its order. */
export type OrderAnswer =
  | { readonly outcome: 'ran'; readonly code: 'answered'; readonly answer: StoredAnswer }
  | { readonly outcome: 'ran'; readonly code: 'answer-not-kept' }
  | NotRunAnswer
  | {
      readonly outcome: 'unknown';
      readonly code: string;
      /** Undefined when a repeat of the key will not tell more. */
      readonly retryAfterMs?: number | undefined;
    };

/** Permission to send one order, checked again for each send. */
export interface SendGuard {
  /**
   * To be called in the same tick as the write of the request, for each send and for each
   * forwarded run. False: the order must not be sent any more.
   */
  beforeSend(): boolean;
  /**
   * Reports proof that the last send did not run: the connection was never established, or the
   * other end answered that it did not run. Another send is allowed afterwards.
   */
  provenNotRun(): void;
}

/** An order that may be sent to a backend server. */
export interface RunRequest extends OrderRequest {
  readonly guard: SendGuard;
}

/** How a run ended. */
export type RunResult =
  | { readonly kind: 'answered'; readonly answer: StoredAnswer }
  | { readonly kind: 'not-run'; readonly code: string; readonly retryAfterMs: number }
  | { readonly kind: 'unknown'; readonly code: string };

/** Chooses a slot, queues, forwards and sends; supplied by the entry daemon. */
export interface OrderRunner {
  /** Runs an order once. The signal ends a run that has not been sent; a sent one continues. */
  run(request: RunRequest, signal: AbortSignal): Promise<RunResult>;
}

/** What the entry daemon knows about the members. */
export interface PeerKnowledge {
  /** The member that this process is now. */
  own(): MemberId;
  /** Whether a member is gone in the sense of section 5.2.4 of the design page. */
  isGone(member: MemberId): boolean;
  /** Checks at once whether a member is gone, by connecting twice; silence gives false. */
  confirmGone(member: MemberId): Promise<boolean>;
  /** Whether a member has not been heard from lately, which proves nothing. */
  isSilent(member: MemberId): boolean;
  /**
   * Whether this member holds its lease now. A member that learns of its own eviction has to call
   * `discardIncarnation` before this can be true again.
   */
  holdsLease(): boolean;
  /** Issues a ticket for a new key; the member to avoid is not its witness. */
  issueTicket(avoid?: MemberId): string | undefined;
}

/** End of an order, as the home reports it to the witness. */
export interface CompletionReport {
  readonly key: string;
  readonly requestHash: string | undefined;
  readonly answer: StoredAnswer;
}

/** One message of a handover at a planned shutdown. */
export interface HandoverPart {
  readonly home: MemberId;
  /** Keys that may have run and whose end is not known. */
  readonly claimedKeys: readonly string[];
  readonly completions: readonly CompletionReport[];
  /** The witness may take over from the last part on. */
  readonly final: boolean;
}

/** What one witness needs from a home that stops. */
export interface Handover {
  readonly witness: MemberId;
  readonly claimedKeys: string[];
  readonly completions: CompletionReport[];
}

/** A home's request to run an order. */
export interface Claim {
  readonly key: OrderKey;
  readonly requestHash: string;
  /** Grows with each attempt, so that a late release cannot cancel a newer claim. */
  readonly attempt: number;
}

/** Response of a witness to a claim; `unavailable` when there was none. */
export type ClaimResult = 'granted' | 'taken-over' | 'wrong-incarnation' | 'full' | 'unavailable';

/** Response of a witness to a takeover request; `unavailable` when there was none. */
export type TakeoverResult =
  | {
      readonly kind:
        | 'taken-over'
        | 'claimed'
        | 'home-alive'
        | 'wrong-incarnation'
        | 'full'
        | 'no-lease'
        | 'ticket-expired'
        | 'key-reused'
        | 'unavailable';
    }
  | { readonly kind: 'completed'; readonly answer: StoredAnswer };

/** End of a forwarded order. */
export type ForwardResult =
  | { readonly kind: 'answered'; readonly answer: OrderAnswer }
  /** The connection was never established, so the other member has not seen the order. */
  | { readonly kind: 'not-reached' }
  | { readonly kind: 'no-response' }
  | { readonly kind: 'wrong-incarnation' };

/** Whether a report was taken; `unavailable` reports are repeated. */
export type ReportResult = 'accepted' | 'wrong-incarnation' | 'unavailable';

/** Which role a forwarded order is meant for. */
export type ForwardKind = 'home' | 'witness';

/** Messages about orders between members; the methods do not reject. */
export interface PeerOrderTransport {
  claim(witness: MemberId, claim: Claim): Promise<ClaimResult>;
  takeover(witness: MemberId, key: OrderKey, requestHash: string): Promise<TakeoverResult>;
  release(witness: MemberId, key: OrderKey, attempt: number): Promise<ReportResult>;
  completions(witness: MemberId, reports: readonly CompletionReport[]): Promise<ReportResult>;
  handover(witness: MemberId, part: HandoverPart): Promise<ReportResult>;
  forward(kind: ForwardKind, member: MemberId, request: OrderRequest): Promise<ForwardResult>;
}

/** Names of the invariants that this package asserts. */
export type ViolationName = 'order-at-most-once' | 'not-run-is-true';

/** Receives a broken invariant. */
export type ViolationHandler = (name: ViolationName, detail: string) => void;

/** Home side: the attempt waits for the grant of the witness. */
export interface ClaimingEntry {
  readonly kind: 'claiming';
  readonly requestHash: string;
  readonly attempt: number;
}

/** The order may be sent, or has been sent. */
export interface RunningEntry {
  readonly kind: 'running';
  readonly requestHash: string;
  readonly attempt: number;
  /** Who else could run the order: nobody after a grant, a takeover or the loss of the witness. */
  readonly basis: RunBasis;
  sent: boolean;
}

/** Why a member may run an order. */
export type RunBasis = 'granted' | 'alone' | 'taken-over';

/** The order ran; its response is kept. */
export interface CompletedEntry {
  readonly kind: 'completed';
  readonly requestHash: string | undefined;
  readonly answer: StoredAnswer;
}

/** The order was sent and its end is not known. */
export interface UnknownEntry {
  readonly kind: 'unknown';
  readonly requestHash: string;
  readonly code: string;
}

/** Witness side: the home may run the order. */
export interface ClaimedEntry {
  readonly kind: 'claimed';
  readonly requestHash: string | undefined;
  readonly attempt: number;
}

/** Witness side: the home may not run the order any more; the witness may. */
export interface TakenOverEntry {
  readonly kind: 'taken-over';
}

/** State of one key at its home or its witness. Refusals are kept apart, for a shorter time. */
export type OrderEntry =
  ClaimingEntry | RunningEntry | CompletedEntry | UnknownEntry | ClaimedEntry | TakenOverEntry;

/** What to do with an order that arrived at the member that decides about it. */
export type BeginResult =
  | { readonly kind: 'start'; readonly attempt: number; readonly takenOver: boolean }
  | { readonly kind: 'join' }
  | { readonly kind: 'answer'; readonly answer: OrderAnswer }
  /** The entries were handed over; the witness decides. */
  | { readonly kind: 'ask-witness' };

/** Limits of a registry. */
export interface RegistryLimits {
  readonly maxEntries: number;
  readonly maxBodyBytes: number;
  readonly maxRefusals: number;
}

/** Where members can be reached. */
export interface PeerDirectory {
  /** Host and port of a member's peer server, undefined when it is not known. */
  endpointOf(vmId: VmId, incarnation: Incarnation): { host: string; port: number } | undefined;
}
