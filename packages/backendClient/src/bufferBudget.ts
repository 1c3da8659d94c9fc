/** Owner of buffered bytes that can be made to give them up. */
export interface BufferOwner {
  /** Ends the use of the buffered bytes; the owner calls `release`. */
  readonly evict: () => void;
}

/**
 * Limits the bytes of responses that a process buffers at the same time. At the limit, the response
 * that takes the most is given up, so that a few endless responses do not push out many others.
 */
export class BufferBudget {
  private readonly bytesByOwner = new Map<BufferOwner, number>();

  private totalBytes = 0;

  private constructor(private readonly maxBytes: number) {}

  /** Creates a budget of `maxBytes` bytes. */
  static create(maxBytes: number): BufferBudget {
    return new BufferBudget(maxBytes);
  }

  /** Bytes that all owners hold. */
  get usedBytes(): number {
    return this.totalBytes;
  }

  /** Adds bytes to an owner, and evicts the largest owners while the limit is exceeded. */
  add(owner: BufferOwner, bytes: number): void {
    this.bytesByOwner.set(owner, (this.bytesByOwner.get(owner) ?? 0) + bytes);
    this.totalBytes += bytes;
    while (this.totalBytes > this.maxBytes) {
      const largest = this.findLargest();
      if (largest === undefined) return;
      this.release(largest);
      largest.evict();
    }
  }

  /** Removes all bytes of an owner. */
  release(owner: BufferOwner): void {
    this.totalBytes -= this.bytesByOwner.get(owner) ?? 0;
    this.bytesByOwner.delete(owner);
  }

  private findLargest(): BufferOwner | undefined {
    let largest: BufferOwner | undefined;
    let largestBytes = -1;
    for (const [owner, bytes] of this.bytesByOwner) {
      if (bytes > largestBytes) [largest, largestBytes] = [owner, bytes];
    }
    return largest;
  }
}
