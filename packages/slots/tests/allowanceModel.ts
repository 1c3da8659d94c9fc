import { ManualClock, SeededRandom, randomInteger } from '@bronzelift/common';

import { InstanceAllowance } from '../src/index.js';

const SETTINGS = { slots: 4, coldSlots: 1, warmupAnswers: 40 };
const STEP_MS = 10;
const MAX_DELAY_MS = 400;

interface Server {
  readonly bootId: string;
  isAlive: boolean;
  inFlight: number;
  responses: number;
}

interface Connection {
  readonly id: number;
  readonly server: Server;
  readonly state: { isBusy: boolean; isOpen: boolean };
}

interface EntryVm {
  readonly allowance: InstanceAllowance;
  readonly connections: (Connection | undefined)[];
}

const close = (vm: EntryVm, connection: Connection): void => {
  const { state } = connection;
  if (!state.isOpen) return;
  state.isOpen = false;
  const { allowance, connections } = vm;
  const slot = connections.indexOf(connection);
  if (slot >= 0) connections[slot] = undefined;
  allowance.recordClosed(connection.id);
};

/** Simulates three entry VMs that share the slots of an instance that restarts at random times. */
export class AllowanceModel {
  readonly clock = ManualClock.create();

  /** Largest number of requests in flight above the slots that the process was warmed up for. */
  maxExcess = 0;

  /** Requests sent in slots at or above coldSlots; if there are none, the run tests nothing. */
  warmRequests = 0;

  private readonly random: SeededRandom;

  private readonly events: { readonly atMs: number; readonly run: () => void }[] = [];

  private readonly vms: EntryVm[];

  private readonly holders = [0, 1, 0, 2];

  private server: Server = { bootId: '0', isAlive: true, inFlight: 0, responses: 0 };

  private lastId = 0;

  private constructor(
    seed: number,
    private readonly hasBootIds: boolean,
  ) {
    this.random = SeededRandom.create(seed);
    this.vms = [0, 1, 2].map(() => ({
      allowance: InstanceAllowance.create(this.clock, SETTINGS),
      connections: [],
    }));
    this.vms[0]!.allowance.setOwner(true);
  }

  static create(seed: number, hasBootIds: boolean): AllowanceModel {
    return new AllowanceModel(seed, hasBootIds);
  }

  run(durationMs: number): void {
    for (let nowMs = 0; nowMs < durationMs; nowMs += STEP_MS) {
      this.clock.advance(STEP_MS);
      const due = this.events.filter((event) => event.atMs <= nowMs);
      due.forEach((event) => this.events.splice(this.events.indexOf(event), 1));
      due.forEach((event) => event.run());
      if (nowMs % 100 === 0) this.heartbeat();
      if (this.occurs(1 / 500)) this.restart();
      if (this.occurs(1 / 300)) this.moveOwner();
      this.holders.forEach((vm, slot) => this.useSlot(this.vms[vm]!, slot));
    }
  }

  private occurs(probability: number): boolean {
    return this.random.next() < probability;
  }

  private schedule(maxMs: number, run: () => void): void {
    this.events.push({
      atMs: this.clock.monotonicMs() + randomInteger(this.random, 0, maxMs),
      run,
    });
  }

  private restart(): void {
    const former = this.server;
    former.isAlive = false;
    this.lastId += 1;
    this.server = { bootId: `${this.lastId}`, isAlive: true, inFlight: 0, responses: 0 };
    for (const vm of this.vms) {
      for (const connection of vm.connections) {
        // One close in four is not detected: the host lost its connections without a FIN.
        if (connection && !this.occurs(1 / 4)) this.schedule(300, () => close(vm, connection));
      }
    }
  }

  /** Moves slot 0 to another entry VM unless a request in it is in flight. */
  private moveOwner(): void {
    const former = this.vms[this.holders[0]!]!;
    if (former.connections[0]?.state.isBusy) return;
    this.holders[0] = randomInteger(this.random, 0, this.vms.length - 1);
    this.vms.forEach((vm, index) => vm.allowance.setOwner(index === this.holders[0]));
  }

  /** Sends the owner's report to every other entry VM, with delays in both directions. */
  private heartbeat(): void {
    const owner = this.vms[this.holders[0]!]!.allowance;
    for (const { allowance } of this.vms) {
      const sentAtMs = this.clock.monotonicMs();
      this.schedule(MAX_DELAY_MS, () => {
        const report = { allowance: owner.allowed, observedAtMs: sentAtMs - owner.ageMs() };
        if (owner.ageMs() === Infinity || owner === allowance) return;
        this.schedule(MAX_DELAY_MS, () => allowance.recordOwnerReport(report));
      });
    }
  }

  private useSlot(vm: EntryVm, slot: number): void {
    const connection = vm.connections[slot] ?? this.connect(vm, slot);
    // Connections of the other slots are idle for longer, so that lost ones stay undetected.
    if (connection.state.isBusy || !this.occurs(slot === 0 ? 1 / 2 : 1 / 15)) return;
    if (this.occurs(1 / 400)) {
      close(vm, connection);
      return;
    }
    if (!vm.allowance.mayUse(slot, connection.id)) return;
    if (!connection.server.isAlive) {
      close(vm, connection);
      return;
    }
    this.send(vm, slot, connection);
  }

  private connect(vm: EntryVm, slot: number): Connection {
    this.lastId += 1;
    const state = { isBusy: false, isOpen: true };
    const connection = { id: this.lastId, server: this.server, state };
    const { allowance, connections } = vm;
    allowance.recordOpened(connection.id, this.clock.monotonicMs());
    connections[slot] = connection;
    return connection;
  }

  private send(vm: EntryVm, slot: number, connection: Connection): void {
    const { server, state } = connection;
    server.inFlight += 1;
    if (slot >= SETTINGS.coldSlots) this.warmRequests += 1;
    const earned = SETTINGS.coldSlots + Math.floor(server.responses / SETTINGS.warmupAnswers);
    this.maxExcess = Math.max(this.maxExcess, server.inFlight - earned);
    state.isBusy = true;
    this.schedule(30, () => {
      server.inFlight -= 1;
      if (!server.isAlive) return;
      server.responses += 1;
      // A response can be in transit when its process ends.
      this.schedule(this.occurs(1 / 20) ? MAX_DELAY_MS : 0, () => this.receive(vm, connection));
    });
  }

  private receive(vm: EntryVm, connection: Connection): void {
    const { state } = connection;
    state.isBusy = false;
    if (!state.isOpen) return;
    const bootId = this.hasBootIds ? { bootId: connection.server.bootId } : {};
    vm.allowance.recordResponse(connection.id, { latencyMs: 10, ...bootId });
  }
}
