import type { Incarnation, MemberId, VmId } from '@bronzelift/common';

/** Content of a ticket: names the members that decide about orders whose keys contain it. */
export interface Ticket {
  readonly home: MemberId;
  /** Undefined when the system had a single member at the time of issue. */
  readonly witness: MemberId | undefined;
  readonly issuedAtMs: number;
}

/** An idempotency key, split into its ticket and the name that the caller gave the order. */
export interface OrderKey {
  /** The key as the caller sent it. */
  readonly text: string;
  readonly ticket: Ticket;
  readonly callerPart: string;
}

/** HTTP headers; a list holds the values of a repeated header. */
export type HeaderMap = Readonly<Record<string, string | readonly string[]>>;

/** Response of a backend server, kept to answer retries of the order. */
export interface StoredAnswer {
  readonly status: number;
  readonly headers: HeaderMap;
  /** Undefined when the body was too large to be stored. */
  readonly body: Uint8Array | undefined;
}

/** An order as it arrived from a caller or another entry VM. */
export interface OrderRequest {
  /** Text of the idempotency key; empty when the request has none. */
  readonly key: string;
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderMap;
  readonly body: Uint8Array;
  /** Unix milliseconds; after this time the order is not sent on behalf of this request. */
  readonly deadlineAtMs: number;
}

/** Answer that an order did not run. The attempt never runs later; a retry is a new attempt. */
export interface NotRunAnswer {
  readonly outcome: 'not-run';
  readonly code: string;
  readonly retryAfterMs: number;
  /** Ticket for a new key, when the current key cannot be used any more. */
  readonly newTicket?: string | undefined;
}

/** Answer to the caller of an order: whether it ran, and its response if that is available. */
export type OrderAnswer =
  | { readonly outcome: 'ran'; readonly code: 'answered'; readonly answer: StoredAnswer }
  | { readonly outcome: 'ran'; readonly code: 'answer-not-kept' }
  | NotRunAnswer
  | {
      readonly outcome: 'unknown';
      readonly code: string;
      /** Undefined when a retry with the same key cannot give a different answer. */
      readonly retryAfterMs?: number | undefined;
    };

/** Checks before each send of an order that it may still be sent. */
export interface SendGuard {
  /**
   * Must be called in the same tick as the write of the request, before each send and each
   * forwarding of the order. Returns false when the order must not be sent any more.
   */
  beforeSend(): boolean;
  /**
   * Records evidence that the last send did not run: the connection was never established, or the
   * receiver answered that the order did not run. The order may then be sent again.
   */
  recordNotRun(): void;
}

/** An order to run, with the guard that must approve each send to a backend server. */
export interface RunRequest extends OrderRequest {
  readonly guard: SendGuard;
}

/** Result of a run: the response, or whether the order certainly did not run. */
export type RunResult =
  | { readonly kind: 'answered'; readonly answer: StoredAnswer }
  | { readonly kind: 'not-run'; readonly code: string; readonly retryAfterMs: number }
  | { readonly kind: 'unknown'; readonly code: string };

/** Runs orders, from queueing to the response of a backend server; supplied by the entry daemon. */
export interface OrderRunner {
  /** Runs an order once. The signal cancels a run that has not been sent; a sent one continues. */
  run(request: RunRequest, signal: AbortSignal): Promise<RunResult>;
}

/** What the entry daemon knows of itself as a member, its lease, and the other members. */
export interface MembershipView {
  /** This process as a member, with its current incarnation. */
  ownMember(): MemberId;
  /** Whether a member certainly uses no slots any more (design, section 5.2.4). */
  isGone(member: MemberId): boolean;
  /** Checks now whether a member is gone, by connecting twice; false when it does not respond. */
  confirmGone(member: MemberId): Promise<boolean>;
  /** Whether nothing was received from a member recently; it may still be running. */
  isSilent(member: MemberId): boolean;
  /**
   * Whether this member holds its lease now. Once this member has learned of its own eviction, the
   * result must stay false until `discardIncarnation` was called.
   */
  holdsLease(): boolean;
  /** Issues a ticket for a new key; its witness is a member other than `avoid`. */
  issueTicket(avoid?: MemberId): string | undefined;
}

/** Response to an order, as the home reports it to the witness. */
export interface CompletionReport {
  readonly key: string;
  readonly requestHash: string | undefined;
  readonly answer: StoredAnswer;
}

/** One message of a handover, in which a home that shuts down sends its entries to a witness. */
export interface HandoverPart {
  readonly home: MemberId;
  /** Keys whose orders may have run, with unknown result. */
  readonly claimedKeys: readonly string[];
  readonly completions: readonly CompletionReport[];
  /** True for the last part; from then on the witness may take over keys of the home. */
  readonly final: boolean;
}

/** Entries that a home that shuts down hands over to one witness. */
export interface Handover {
  readonly witness: MemberId;
  readonly claimedKeys: string[];
  readonly completions: CompletionReport[];
}

/** Request of a home to its witness to grant an attempt to run an order. */
export interface Claim {
  readonly key: OrderKey;
  readonly requestHash: string;
  /** Increases with each attempt, so that a late release cannot remove a newer claim. */
  readonly attempt: number;
}

/** Response of a witness to a claim; `unavailable` when the witness did not respond. */
export type ClaimResult = 'granted' | 'taken-over' | 'wrong-incarnation' | 'full' | 'unavailable';

/** Response of a witness to a takeover request; `unavailable` when it did not respond. */
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

/** Result of forwarding an order to another member. */
export type ForwardResult =
  | { readonly kind: 'answered'; readonly answer: OrderAnswer }
  /** The connection was never established, so the other member has not seen the order. */
  | { readonly kind: 'not-reached' }
  | { readonly kind: 'no-response' }
  | { readonly kind: 'wrong-incarnation' };

/** Response of a witness to a report or handover, which is sent again after `unavailable`. */
export type ReportResult = 'accepted' | 'wrong-incarnation' | 'unavailable';

/** Role in which the receiver of a forwarded order decides about it. */
export type ForwardKind = 'home' | 'witness';

/** Sends the messages about orders to other members. The promises of the methods never reject. */
export interface PeerOrderTransport {
  claim(witness: MemberId, claim: Claim): Promise<ClaimResult>;
  takeover(witness: MemberId, key: OrderKey, requestHash: string): Promise<TakeoverResult>;
  release(witness: MemberId, key: OrderKey, attempt: number): Promise<ReportResult>;
  completions(witness: MemberId, reports: readonly CompletionReport[]): Promise<ReportResult>;
  handover(witness: MemberId, part: HandoverPart): Promise<ReportResult>;
  forward(kind: ForwardKind, member: MemberId, request: OrderRequest): Promise<ForwardResult>;
}

/** Names of the invariants that this package checks at run time. */
export type ViolationName = 'order-at-most-once' | 'not-run-is-true';

/** Called when an invariant is found violated. */
export type ViolationHandler = (name: ViolationName, detail: string) => void;

/** Home side: the attempt waits until the witness grants its claim. */
export interface ClaimingEntry {
  readonly kind: 'claiming';
  readonly requestHash: string;
  readonly attempt: number;
}

/** The attempt was allowed to run; `sent` tells whether the order has been sent. */
export interface RunningEntry {
  readonly kind: 'running';
  readonly requestHash: string;
  readonly attempt: number;
  /** Why no other member can run the order: a grant, a takeover, or the lack of a witness. */
  readonly basis: RunBasis;
  sent: boolean;
}

/** Why a member may run an order: granted by the witness, without a witness, or taken over. */
export type RunBasis = 'granted' | 'alone' | 'taken-over';

/** The order ran, and its response is stored. */
export interface CompletedEntry {
  readonly kind: 'completed';
  readonly requestHash: string | undefined;
  readonly answer: StoredAnswer;
}

/** The order was sent, and it is not known whether it ran. */
export interface UnknownEntry {
  readonly kind: 'unknown';
  readonly requestHash: string;
  readonly code: string;
}

/** Witness side: the claim of the home was granted, so only the home may run the order. */
export interface ClaimedEntry {
  readonly kind: 'claimed';
  readonly requestHash: string | undefined;
  readonly attempt: number;
}

/** Witness side: the witness may run the order; the home may not any more. */
export interface TakenOverEntry {
  readonly kind: 'taken-over';
}

/** State of one key at its home or witness. Refusals are stored separately, for a shorter time. */
export type OrderEntry =
  ClaimingEntry | RunningEntry | CompletedEntry | UnknownEntry | ClaimedEntry | TakenOverEntry;

/** Next step for an order that arrived at its home, or at the witness that took it over. */
export type BeginResult =
  | { readonly kind: 'start'; readonly attempt: number; readonly takenOver: boolean }
  | { readonly kind: 'join' }
  | { readonly kind: 'answer'; readonly answer: OrderAnswer }
  /** The home is stopping and its entries were handed over, so the witness decides. */
  | { readonly kind: 'ask-witness' };

/** Memory limits of a registry: entries, bytes of stored bodies, and refused keys. */
export interface RegistryLimits {
  readonly maxEntries: number;
  readonly maxBodyBytes: number;
  readonly maxRefusals: number;
}

/** Looks up the network addresses of members. */
export interface PeerDirectory {
  /** Host and port of a member's peer server; undefined when unknown. */
  endpointOf(vmId: VmId, incarnation: Incarnation): { host: string; port: number } | undefined;
}
