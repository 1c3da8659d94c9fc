import type { IncomingMessage, ServerResponse } from 'node:http';

import type { Clock, Endpoint, Incarnation, MemberId, VmId } from '@bronzelift/common';
import { formatMember, isSameMember, sleep } from '@bronzelift/common';
import {
  REFUSAL_CONFIRMATION_DELAY_MS,
  SILENCE_LIMIT_MS,
  isConnectionRefused,
} from '@bronzelift/membership';
import { LogComponent } from '@bronzelift/observability';
import type { DecisionLog, Invariants } from '@bronzelift/observability';
import {
  DEFAULT_LIMITS,
  OrderCoordinator,
  PeerTransport,
  createForwardHandler,
  createOrderRoutes,
} from '@bronzelift/orders';
import type { OrderRequestHandler, MembershipView } from '@bronzelift/orders';

import { writeAnswer } from './answers.js';
import { GONE_CHECK_TIMEOUT_MS } from './constants.js';
import type { MemberSession } from './memberSession.js';
import { createOrderRunner } from './orderAdapter.js';
import type { RequestRunner } from './requestRunner.js';

/** Components and callbacks that the order service uses. */
export interface OrderServiceOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly runner: RequestRunner;
  readonly invariants: Invariants;
  readonly ownVmId: VmId;
  readonly currentSession: () => MemberSession;
  readonly issueTicket: (avoid?: MemberId) => string | undefined;
  readonly findEndpoint: (vmId: VmId, incarnation: Incarnation) => Endpoint | undefined;
  readonly nextRequestId: () => string;
}

/** Connects the order coordinator to membership, request runner and peer port. */
export class OrderService {
  readonly coordinator: OrderCoordinator;

  private readonly transport: PeerTransport;

  private readonly handlers: readonly OrderRequestHandler[];

  private inFlightCount = 0;

  private constructor(private readonly options: OrderServiceOptions) {
    const { clock, log, runner, invariants, ownVmId } = options;
    this.transport = PeerTransport.create({
      clock,
      directory: { endpointOf: options.findEndpoint },
      onMalformed: (path, member, detail) =>
        log.warn(LogComponent.order, 'malformed response from a peer', {
          path,
          peer: formatMember(member),
          detail,
        }),
    });
    this.coordinator = OrderCoordinator.create({
      clock,
      transport: this.transport,
      knowledge: this.createMembershipView(),
      runner: createOrderRunner(clock, runner, options.nextRequestId),
      limits: DEFAULT_LIMITS,
      onViolation: (name, detail) => invariants.report(name, detail),
      sleep,
    });
    const routes = { coordinator: this.coordinator, ownVmId };
    this.handlers = [createOrderRoutes(routes), createForwardHandler(routes)];
  }

  static create(options: OrderServiceOptions): OrderService {
    return new OrderService(options);
  }

  /** Number of requests from peers that have no response yet. */
  get inFlight(): number {
    return this.inFlightCount;
  }

  /** Handles messages from peers about orders; refuses any other path. */
  async handlePeerRequest(message: IncomingMessage, response: ServerResponse): Promise<void> {
    this.inFlightCount += 1;
    try {
      for (const handler of this.handlers) if (await handler(message, response)) return;
      // Requests from callers are not accepted on the peer port.
      response.setHeader('connection', 'close');
      writeAnswer(response, { kind: 'not-run', code: 'unknown-path', retryAfterMs: 0 });
    } finally {
      this.inFlightCount -= 1;
    }
  }

  /** Closes the connections to peers. */
  close(): void {
    this.transport.close();
  }

  private createMembershipView(): MembershipView {
    const { options } = this;
    return {
      ownMember: () => options.currentSession().self,
      isGone: (member) => options.currentSession().lease.isGone(member),
      confirmGone: (member) => this.confirmGone(member),
      isSilent: (member) => {
        const session = options.currentSession();
        return (
          !isSameMember(member, session.self) && session.silentMs(member) > SILENCE_LIMIT_MS / 2
        );
      },
      holdsLease: () => options.currentSession().lease.isLeaseHeld(),
      issueTicket: options.issueTicket,
    };
  }

  /** A refused connection shows that the member's process is gone; a timeout shows nothing. */
  private async confirmGone(member: MemberId): Promise<boolean> {
    const session = this.options.currentSession();
    if (session.lease.isGone(member)) return true;
    const endpoint = this.options.findEndpoint(member.vmId, member.incarnation);
    if (!endpoint) return false;
    if (!(await isConnectionRefused(endpoint, GONE_CHECK_TIMEOUT_MS))) return false;
    await sleep(REFUSAL_CONFIRMATION_DELAY_MS);
    if (!(await isConnectionRefused(endpoint, GONE_CHECK_TIMEOUT_MS))) return false;
    session.recordGone(member, 'refused');
    return true;
  }
}
