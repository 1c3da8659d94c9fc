import { COLLECTED_PART_BYTES } from './constants.js';

/**
 * Collects the pieces of a body. Small pieces are copied together, because each buffer takes some
 * hundred bytes beside its content and a body may arrive in pieces of one byte.
 */
export class BodyCollector {
  private readonly parts: Buffer[] = [];

  private tail: Buffer | undefined;

  private tailBytes = 0;

  private collectedBytes = 0;

  private constructor() {
    // Created through `create`.
  }

  /** Creates a collector without content. */
  static create(): BodyCollector {
    return new BodyCollector();
  }

  /** Size of the collected body in bytes. */
  get sizeBytes(): number {
    return this.collectedBytes;
  }

  /** Appends a piece; the caller must not change it afterwards. */
  append(piece: Buffer): void {
    this.collectedBytes += piece.length;
    if (piece.length >= COLLECTED_PART_BYTES) {
      this.closeTail();
      this.parts.push(piece);
      return;
    }
    if (this.tailBytes + piece.length > COLLECTED_PART_BYTES) this.closeTail();
    this.tail ??= Buffer.allocUnsafe(COLLECTED_PART_BYTES);
    this.tailBytes += piece.copy(this.tail, this.tailBytes);
  }

  /** Returns the whole body. */
  toBuffer(): Buffer {
    this.closeTail();
    return this.parts.length === 1 ? this.parts[0]! : Buffer.concat(this.parts);
  }

  private closeTail(): void {
    if (this.tail !== undefined) this.parts.push(this.tail.subarray(0, this.tailBytes));
    this.tail = undefined;
    this.tailBytes = 0;
  }
}
