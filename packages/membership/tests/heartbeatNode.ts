import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import { SystemClock, formatMember, systemRandom } from '@bronzelift/common';
import { MemberStatusSchema, Phase } from '@bronzelift/protocol';
import type { MemberStatus } from '@bronzelift/protocol';
import { create } from '@bufbuild/protobuf';
import { connectNodeAdapter } from '@connectrpc/connect-node';

import { HeartbeatService, HeartbeatSocket } from '../src/index.js';
import type { RosterMember } from '../src/index.js';

const HOST = '127.0.0.1';

/** The heartbeat part of an entry daemon, with a fixed status. */
export class HeartbeatNode {
  phase: Phase = Phase.SERVING;

  epoch = 1;

  /** Callbacks in the order of their calls, such as `gone vm2@b stopped`. */
  readonly events: string[] = [];

  readonly socket = HeartbeatSocket.create((request) => this.heartbeats.answer(request));

  responses = 0;

  granted = 0;

  heartbeats!: HeartbeatService;

  member!: RosterMember;

  /** Accepted connections, to close them at the end. */
  readonly sockets: Socket[] = [];

  private constructor(
    readonly server: Server,
    private readonly services: number,
  ) {
    server.on('connection', (socket: Socket) => this.sockets.push(socket));
  }

  /** Starts a node; its status lists `services` services and as many observations. */
  static async start(
    vmId: string,
    incarnation: string,
    port = 0,
    services = 0,
  ): Promise<HeartbeatNode> {
    let node: HeartbeatNode | undefined;
    const routes = (router: Parameters<HeartbeatService['routes']>[0]): void =>
      node!.heartbeats.routes(router);
    const server = createServer();
    await new Promise<void>((resolve) => {
      server.listen(port, HOST, resolve);
    });
    node = new HeartbeatNode(server, services);
    const endpoint = { host: HOST, port: (server.address() as AddressInfo).port };
    node.member = {
      vmId,
      incarnation,
      failureDomainId: 'd',
      callerEndpoint: endpoint,
      peerEndpoint: endpoint,
    };
    node.heartbeats = node.createService();
    await node.socket.bind(endpoint);
    server.on('request', connectNodeAdapter({ routes }));
    return node;
  }

  /** Returns the member with the peer port of a proxy in front of the node. */
  withPeerPort(port: number): RosterMember {
    return { ...this.member, peerEndpoint: { host: HOST, port } };
  }

  async stop(): Promise<void> {
    await this.heartbeats.stop();
    this.socket.close();
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  private createService(): HeartbeatService {
    return HeartbeatService.create({
      clock: SystemClock.create(),
      random: systemRandom,
      self: this.member,
      status: (isComplete) => this.status(isComplete),
      exchange: (endpoint, request) => this.socket.exchange(endpoint, request),
      counters: () => ({ epoch: this.epoch, configurationVersion: 0, drainRevision: 0 }),
      shouldGrant: (senderEpoch) => senderEpoch >= this.epoch,
      stateJson: () => `state of ${this.member.vmId} at ${this.epoch}`,
      onPeerStatus: (_, source) => {
        if (source.kind === 'response') this.responses += 1;
        if (source.kind === 'response' && source.isLeaseGranted) this.granted += 1;
      },
      onPeerAhead: (_, stateJson) => this.events.push(`fetched ${stateJson}`),
      onPeerBehind: ({ vmId }) => this.events.push(`behind ${vmId}`),
      onGone: (member, reason) => this.events.push(`gone ${formatMember(member)} ${reason}`),
      onError: ({ vmId }) => this.events.push(`error ${vmId}`),
    });
  }

  private status(isComplete: boolean): MemberStatus {
    const { vmId, incarnation, failureDomainId } = this.member;
    const indexes = Array.from({ length: isComplete ? this.services : 0 }, (_, index) => index);
    return create(MemberStatusSchema, {
      vmId,
      incarnation,
      failureDomainId,
      phase: this.phase,
      epoch: BigInt(this.epoch),
      services: indexes.map((index) => ({ service: `service-${index}`, freeSlots: 4, queued: 1 })),
      observations: indexes.map((index) => ({
        instanceId: `instance-${index}`,
        allowance: 4,
        ageMs: 1200,
      })),
    });
  }
}
