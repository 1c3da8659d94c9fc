import { Gateways } from './gateways.js';
import { Instance } from './instance.js';
import { Store } from './store.js';

/** Host of all routes. */
export const HOST_NAME = 'fittings.example';

const SERVICE = 'fitting';

/** Topic of the operator's records. */
export const OPERATOR = 'keyed.op';

/** Topic of the registrations. */
export const INSTANCES = 'keyed.servers';
const HEARTBEAT_MS = 1_500;
const READY_LIMIT_MS = 20_000;

/** Route of a configuration; durations as the operator writes them. */
export interface RouteFields {
  readonly name: string;
  /** Default: the first service. */
  readonly service?: string;
  readonly path_prefix: string;
  readonly kind: 'safe' | 'unsafe';
  readonly timeout: string;
  readonly target_latency: string;
  readonly max_attempts: number;
}

/** Zone and service of an instance; by default the first service. */
export interface InstancePlace {
  readonly zone: string;
  readonly service?: string;
}

/** Content of a small deployment. */
export interface WorldOptions {
  /** Zone of each gateway. */
  readonly gatewayZones: readonly string[];
  readonly instances: readonly InstancePlace[];
  readonly slots: number;
  readonly routes: readonly RouteFields[];
  /** Duration of a run by its path. */
  readonly workMs: (path: string) => number;
  /** Settings of the gateways that replace the usual ones. */
  readonly settings?: Readonly<Record<string, string>>;
}

/** A small deployment: gateways as processes, and sound stand-ins of the platform. */
export class World {
  private readonly startedAtWallMs = Date.now();

  private sequence = 0;

  private version = 0;

  private readonly draining = new Set<Instance>();

  private timer: NodeJS.Timeout | undefined;

  private constructor(
    readonly store: Store,
    private readonly options: WorldOptions,
    readonly instances: readonly Instance[],
    readonly gateways: Gateways,
  ) {}

  /** Starts a deployment and waits until all gateways are ready. */
  static async start(options: WorldOptions): Promise<World> {
    const store = Store.create();
    const instances: Instance[] = [];
    for (const index of options.instances.keys()) {
      instances.push(await Instance.start(`i-${index + 1}`, options.slots, options.workMs));
    }
    const storePorts: number[] = [];
    for (const index of options.gatewayZones.keys()) {
      storePorts.push(await store.openPort(`gateway ${index}`));
    }
    const { gatewayZones: zones, settings = {} } = options;
    const gateways = await Gateways.start({ zones, storePorts, settings });
    const world = new World(store, options, instances, gateways);
    world.publish(options.routes);
    world.registerAll();
    world.timer = setInterval(() => world.registerAll(), HEARTBEAT_MS);
    try {
      await gateways.waitReady(READY_LIMIT_MS);
    } catch (error) {
      await world.stop();
      throw error;
    }
    return world;
  }

  /** Indices of the gateways that read the registrations within the given time before now. */
  listReaders(withinMs: number): number[] {
    const limitMs = performance.now() - withinMs;
    return [...this.gateways.hosts.keys()].filter(
      (index) => this.store.lastReadAtMs(`gateway ${index}`, INSTANCES) >= limitMs,
    );
  }

  /** Instances of a service. */
  listInstances(service: string): readonly Instance[] {
    return this.instances.filter(
      (_instance, index) => (this.options.instances[index]!.service ?? SERVICE) === service,
    );
  }

  /** Time since a gateway read the registrations. */
  readAgeMs(gateway: number): number {
    return performance.now() - this.store.lastReadAtMs(`gateway ${gateway}`, INSTANCES);
  }

  /** Partitions a gateway from the store, or heals the cut. */
  setStoreCut(gateway: number, isCut: boolean): void {
    this.store.setCut(`gateway ${gateway}`, isCut);
  }

  /** Publishes a new version of the configuration; returns when the store has accepted it. */
  publishRoutes(routes: readonly RouteFields[]): number {
    this.publish(routes);
    return performance.now();
  }

  /** Lets an instance report that it is draining; returns when the store has accepted it. */
  drain(instance: Instance): number {
    this.draining.add(instance);
    this.register(instance);
    return performance.now();
  }

  /** Ends all processes and closes all ports. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    await this.gateways.stop();
    for (const instance of this.instances) instance.close();
    this.store.close();
  }

  private publish(routes: readonly RouteFields[]): void {
    this.version += 3;
    const names = new Set(this.options.instances.map(({ service = SERVICE }) => service));
    this.store.put(OPERATOR, 'config', {
      version: this.version,
      base_version: 0,
      services: [...names].map((name) => ({
        name,
        health_path: '/health',
        max_conns: 220,
        warmup: '3s',
        warmup_per_s: 15,
      })),
      limits: {
        max_header_bytes: 16_384,
        max_body_bytes: 65_536,
        header_timeout: '3000ms',
        idle_timeout: '15000ms',
      },
      hosts: [
        {
          host: HOST_NAME,
          paths: routes.map((route) => ({ service: SERVICE, ...route, priority: 1 })),
        },
      ],
    });
  }

  private registerAll(): void {
    for (const instance of this.instances) this.register(instance);
  }

  private register(instance: Instance): void {
    this.sequence += 1;
    const { zone, service = SERVICE } = this.options.instances[this.instances.indexOf(instance)]!;
    this.store.put(INSTANCES, instance.id, {
      service,
      address: `127.0.0.1:${instance.port}`,
      zone,
      version: 'v1',
      slots: instance.slots,
      state: this.draining.has(instance) ? 'draining' : 'ready',
      warmup_left: '0ms',
      born: this.startedAtWallMs,
      seq: this.sequence,
    });
  }
}
