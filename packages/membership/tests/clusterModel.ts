import { ManualClock, SeededRandom, randomInteger } from '@bronzelift/common';
import { SlotRights, assignSlots, heldSlots } from '@bronzelift/slots';
import type { SlotAssignment } from '@bronzelift/slots';

import { MemberLease, memberKey } from '../src/index.js';
import type { PeerReport, Roster, RosterMember } from '../src/index.js';

const STEP_MS = 50;
const INSTANCES = ['i1', 'i2', 'i3'].map((instanceId) => ({
  instanceId,
  service: 's',
  failureDomainId: 'd',
  slots: 2,
}));

/** Probabilities of faults: loss per message, skipped epochs per log read, the rest per step. */
export interface FaultRates {
  readonly loss: number;
  readonly partition: number;
  readonly pause: number;
  readonly kill: number;
  readonly eviction: number;
  readonly skippedEpochs: number;
}

interface Process {
  readonly self: RosterMember;
  readonly lease: MemberLease;
  readonly rights: SlotRights;
  isAlive: boolean;
  pausedUntilMs: number;
  readLogAtMs: number;
}

const isRunning = (process: Process, nowMs: number): boolean =>
  process.isAlive && process.pausedUntilMs <= nowMs;

const reportOf = ({ lease }: Process): PeerReport => ({
  epoch: lease.epoch,
  configurationVersion: 0,
  drainRevision: 0,
  settledEpoch: lease.settledEpoch(),
});

/** Simulates entry VMs that use MemberLease, SlotRights and assignSlots, with injected faults. */
export class ClusterModel {
  readonly clock = ManualClock.create();

  /** Description of the first conflict: two members that may use the same slot. */
  conflict: string | undefined;

  /** Number of usable slots, summed over the steps; verifies that slots were in use at all. */
  usableSlotSteps = 0;

  private readonly random: SeededRandom;

  private readonly log: Roster[] = [];

  private readonly assignments = new Map<Roster, SlotAssignment>();

  private readonly processes: Process[] = [];

  private readonly events: { readonly atMs: number; readonly run: () => void }[] = [];

  /** Group of each VM; messages between different groups are lost. Group 0 reads the log. */
  private readonly groups = new Map<string, number>();

  private isHealed = false;

  private constructor(
    seed: number,
    private readonly vmCount: number,
    private readonly rates: FaultRates,
  ) {
    this.random = SeededRandom.create(seed);
  }

  static create(seed: number, vmCount: number, rates: FaultRates): ClusterModel {
    const model = new ClusterModel(seed, vmCount, rates);
    for (let vm = 1; vm <= vmCount; vm++) model.start(`vm${vm}`);
    return model;
  }

  run(durationMs: number): void {
    const endMs = this.clock.monotonicMs() + durationMs;
    while (this.clock.monotonicMs() < endMs && !this.conflict) this.step();
  }

  /** Ends all faults and evicts the dead members; the others continue for the duration. */
  heal(durationMs: number): void {
    this.isHealed = true;
    this.groups.clear();
    for (const process of this.processes.filter(({ isAlive }) => !isAlive)) this.evict(process);
    this.run(durationMs);
  }

  /** Returns the running members of the newest roster without a lease or without a settled epoch. */
  membersWithoutUsableSlots(): string[] {
    const members = this.newest.members.map(memberKey);
    return this.processes
      .filter(({ isAlive, self }) => isAlive && members.includes(memberKey(self)))
      .filter(({ lease }) => !(lease.isLeaseHeld() && lease.isSettled()))
      .map(({ self, lease }) => `${memberKey(self)} epoch ${lease.epoch}`);
  }

  private step(): void {
    this.clock.advance(STEP_MS);
    const nowMs = this.clock.monotonicMs();
    if (!this.isHealed) this.injectFaults();
    const due = this.events.filter((event) => event.atMs <= nowMs);
    const rest = this.events.filter((event) => event.atMs > nowMs);
    this.events.splice(0, this.events.length, ...rest);
    due.forEach((event) => event.run());
    for (const process of this.processes) {
      if (!isRunning(process, nowMs)) continue;
      this.readLog(process);
      if (nowMs % 500 === 0) this.sendHeartbeats(process);
      this.rejoinWhenEvicted(process);
    }
    this.checkSlots();
  }

  private happensWith(probability: number): boolean {
    return this.random.next() < probability;
  }

  private scheduleWithin(maxMs: number, run: () => void): void {
    const delayMs = randomInteger(this.random, 0, maxMs);
    this.events.push({ atMs: this.clock.monotonicMs() + delayMs, run });
  }

  private chooseRandom<T>(items: readonly T[]): T | undefined {
    return items[randomInteger(this.random, 0, items.length - 1)];
  }

  private start(vmId: string): void {
    const endpoint = { host: '127.0.0.1', port: Number(vmId.slice(2)) };
    const self: RosterMember = {
      vmId,
      incarnation: `n${this.processes.length}`,
      failureDomainId: 'd',
      callerEndpoint: endpoint,
      peerEndpoint: endpoint,
    };
    const lease = MemberLease.create(this.clock, self);
    const rights = SlotRights.create();
    this.processes.push({ self, lease, rights, isAlive: true, pausedUntilMs: 0, readLogAtMs: 0 });
    const others = this.newest.members.filter((member) => member.vmId !== vmId);
    this.append([...others, self]);
  }

  private get newest(): Roster {
    return this.log[this.log.length - 1] ?? { epoch: 0, members: [] };
  }

  private append(members: readonly RosterMember[]): void {
    this.log.push({ epoch: this.log.length + 1, members });
  }

  private evict({ self }: Process): void {
    const { members } = this.newest;
    const others = members.filter((member) => memberKey(member) !== memberKey(self));
    if (others.length < members.length) this.append(others);
  }

  private injectFaults(): void {
    const { rates } = this;
    const nowMs = this.clock.monotonicMs();
    const target = this.chooseRandom(this.processes.slice(-this.vmCount * 2));
    if (this.happensWith(rates.partition)) {
      this.groups.set(
        `vm${randomInteger(this.random, 1, this.vmCount)}`,
        randomInteger(this.random, 0, 1),
      );
    }
    if (target && this.happensWith(rates.pause)) {
      const durationMs = randomInteger(this.random, 100, 9000);
      target.pausedUntilMs = nowMs + durationMs;
      this.events.push({
        atMs: nowMs + durationMs,
        run: () => target.lease.observeLoopGap(durationMs),
      });
    }
    if (target?.isAlive && this.happensWith(rates.kill)) {
      target.isAlive = false;
      if (this.happensWith(3 / 4)) this.scheduleWithin(8000, () => this.start(target.self.vmId));
    }
    if (target && this.happensWith(rates.eviction)) this.evictSilent(target);
  }

  /** Lets a member with a lease evict a member that sends it nothing, as EvictionPolicy does. */
  private evictSilent(target: Process): void {
    const nowMs = this.clock.monotonicMs();
    const evictors = this.processes.filter(
      (one) => isRunning(one, nowMs) && one.lease.isLeaseHeld(),
    );
    const evictor = this.chooseRandom(evictors);
    if (!evictor || this.groupOf(evictor) !== 0) return;
    const isHeard = isRunning(target, nowMs) && this.groupOf(target) === 0;
    if (!isHeard && evictor.lease.isMember(target.self)) this.evict(target);
  }

  /** Adopts the next epochs one by one, or only the newest as after a state fetch. */
  private readLog(process: Process): void {
    const nowMs = this.clock.monotonicMs();
    if (this.groupOf(process) !== 0 || process.readLogAtMs > nowMs) return;
    const delayMs = this.isHealed ? 100 : randomInteger(this.random, 0, 2000);
    Object.assign(process, { readLogAtMs: nowMs + delayMs });
    const first = this.happensWith(this.isHealed ? 0 : this.rates.skippedEpochs)
      ? this.log.length - 1
      : process.lease.epoch;
    const last = this.happensWith(1 / 2) ? this.log.length : first + 1;
    for (const roster of this.log.slice(first, last)) {
      const { isAdopted, isContiguous } = process.lease.adoptRoster(roster);
      const held = heldSlots(this.assignmentOf(roster), process.self.vmId);
      if (isAdopted) process.rights.setHeldSlots(roster.epoch, held, isContiguous);
    }
  }

  private assignmentOf(roster: Roster): SlotAssignment {
    const known = this.assignments.get(roster) ?? assignSlots(roster.members, INSTANCES);
    this.assignments.set(roster, known);
    return known;
  }

  private groupOf({ self }: Process): number {
    return this.groups.get(self.vmId) ?? 0;
  }

  private sendHeartbeats(sender: Process): void {
    const peers = [
      ...(sender.lease.currentRoster?.members ?? []),
      ...sender.lease.unsettledMembers(),
    ].filter((member) => member.vmId !== sender.self.vmId);
    for (const peer of peers) {
      const sentAtMs = this.clock.monotonicMs();
      const report = reportOf(sender);
      this.transmit(sender, peer, (receiver) => {
        if (memberKey(receiver.self) !== memberKey(peer)) {
          this.transmit(receiver, sender.self, () => sender.lease.recordGone(peer, 'replaced'));
          return;
        }
        receiver.lease.recordReport(sender.self, report);
        const isGranted = receiver.lease.shouldGrant(report.epoch);
        const answer = reportOf(receiver);
        this.transmit(receiver, sender.self, () => {
          sender.lease.recordResponse(peer, sentAtMs, answer, isGranted);
        });
      });
      this.detectDead(sender, peer);
    }
  }

  /** Reports the refused connection of a dead process to the sender, but not on every heartbeat. */
  private detectDead(sender: Process, peer: RosterMember): void {
    const target = this.processes.find(({ self }) => memberKey(self) === memberKey(peer))!;
    if (target.isAlive || !(this.isHealed || this.happensWith(1 / 20))) return;
    this.scheduleWithin(500, () => sender.lease.recordGone(peer, 'refused'));
  }

  private transmit(from: Process, to: RosterMember, deliver: (receiver: Process) => void): void {
    const isLost = !this.isHealed && this.happensWith(this.rates.loss);
    if (isLost) return;
    const deliverOrDelay = (): void => {
      const receiver = [...this.processes].reverse().find(({ self }) => self.vmId === to.vmId)!;
      if (!receiver.isAlive || this.groupOf(from) !== this.groupOf(receiver)) return;
      const nowMs = this.clock.monotonicMs();
      if (receiver.pausedUntilMs <= nowMs) deliver(receiver);
      else this.events.push({ atMs: receiver.pausedUntilMs, run: deliverOrDelay });
    };
    this.scheduleWithin(this.isHealed ? 50 : 1500, deliverOrDelay);
  }

  /** Restarts a member under a new incarnation once it has read of its own eviction. */
  private rejoinWhenEvicted(process: Process): void {
    const { lease, self } = process;
    const joinedAt = this.log.find(({ members }) => members.includes(self))!.epoch;
    if (lease.epoch < joinedAt || lease.isMember(self)) return;
    Object.assign(process, { isAlive: false });
    this.start(self.vmId);
  }

  private checkSlots(): void {
    const nowMs = this.clock.monotonicMs();
    const users = new Map<string, string>();
    for (const process of this.processes.filter((one) => isRunning(one, nowMs))) {
      const { lease, rights, self } = process;
      if (lease.isSettled()) rights.settle(lease.epoch);
      if (!lease.isLeaseHeld()) continue;
      for (const { instanceId } of INSTANCES) {
        for (const slot of rights.usableSlots(instanceId)) {
          const name = `${instanceId}/${slot}`;
          const user = `${memberKey(self)} at epoch ${lease.epoch}`;
          const other = users.get(name);
          if (other) this.conflict ??= `${name} is used by ${other} and ${user} at ${nowMs} ms`;
          users.set(name, user);
          this.usableSlotSteps += 1;
        }
      }
    }
  }
}
