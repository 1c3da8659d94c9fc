import type { RandomSource } from '@bronzelift/common';

import type { ResponseFault } from './behaviors.js';

/** Response faults that are active on one instance; each request gets at most one. */
export class ResponseFaults {
  private faults: { readonly fault: ResponseFault; remaining: number }[] = [];

  private constructor(private readonly random: RandomSource) {}

  static create(random: RandomSource): ResponseFaults {
    return new ResponseFaults(random);
  }

  /** Activates a fault and replaces an active one of the same name. */
  add(fault: ResponseFault): void {
    this.faults = this.faults.filter((entry) => entry.fault.fault !== fault.fault);
    this.faults.push({ fault, remaining: fault.count ?? Infinity });
  }

  /** Deactivates all faults. */
  clear(): void {
    this.faults = [];
  }

  /** Draws the fault of a request according to the probabilities; undefined for none. */
  draw(): ResponseFault | undefined {
    const drawnFault = this.faults.find(
      ({ fault, remaining }) => remaining > 0 && this.random.next() < fault.probability,
    );
    if (drawnFault) drawnFault.remaining -= 1;
    return drawnFault?.fault;
  }
}
