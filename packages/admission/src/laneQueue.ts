import { ORDERS_PER_LOOKUP } from './constants.js';

type Run = () => Promise<unknown>;

/** Options that p-queue passes to its queue class for each request. */
export interface LaneOptions {
  readonly id?: string;
  readonly priority?: number;
}

/** Priorities that select the lane of a request. */
export const LanePriority = { lookup: 0, order: 1 } as const;

const takeFirst = (lane: Map<string, Run>): Run | undefined => {
  const first = lane.entries().next();
  if (first.done) return undefined;
  const [id, run] = first.value;
  lane.delete(id);
  return run;
};

/**
 * Queue class for p-queue with one lane for orders and one for lookups. p-queue's own class never
 * starts a lookup while orders wait, and removes a request in linear time.
 */
export class LaneQueue {
  private readonly orders = new Map<string, Run>();

  private readonly lookups = new Map<string, Run>();

  /** Orders started since the last lookup, while lookups waited. */
  private consecutiveOrders = 0;

  get size(): number {
    return this.orders.size + this.lookups.size;
  }

  enqueue(run: Run, options?: LaneOptions): void {
    const id = options?.id;
    if (id === undefined) throw new Error('a queued request needs an id');
    this.lane(options?.priority).set(id, run);
  }

  dequeue(): Run | undefined {
    const isLookupTurn = this.orders.size === 0 || this.consecutiveOrders >= ORDERS_PER_LOOKUP;
    if (isLookupTurn && this.lookups.size > 0) {
      this.consecutiveOrders = 0;
      return takeFirst(this.lookups);
    }
    this.consecutiveOrders = this.lookups.size > 0 ? this.consecutiveOrders + 1 : 0;
    return takeFirst(this.orders);
  }

  filter(options: LaneOptions): Run[] {
    return [...this.lane(options.priority).values()];
  }

  /** Required by p-queue's interface; the admission queue never changes a priority. */
  setPriority(id: string, priority: number): void {
    const run = this.orders.get(id) ?? this.lookups.get(id);
    if (run === undefined) throw new ReferenceError(`no queued request has the id ${id}`);
    this.remove(id);
    this.enqueue(run, { id, priority });
  }

  remove(id: string): void {
    if (!this.orders.delete(id)) this.lookups.delete(id);
  }

  private lane(priority: number | undefined): Map<string, Run> {
    return priority === LanePriority.order ? this.orders : this.lookups;
  }
}
