/** One part of a split. */
export interface SplitPart {
  readonly service: string;
  readonly weight: number;
}

/**
 * Spreads requests over the parts of a split by their weights (smooth weighted round robin), so
 * that the shares hold over short times and not only on average. The choice does not look at load:
 * what finds no room at its part is refused rather than moved to another.
 */
export class WeightedSplit {
  private readonly credits: number[];

  private readonly total: number;

  private constructor(
    private readonly parts: readonly SplitPart[],
    offset: number,
  ) {
    this.total = parts.reduce((sum, { weight }) => sum + weight, 0);
    this.credits = parts.map(({ weight }) => weight * offset);
  }

  /** Creates a split; `offset` (0 to 1) keeps several entry VMs from moving in step. */
  static create(parts: readonly SplitPart[], offset: number): WeightedSplit {
    return new WeightedSplit(parts, offset);
  }

  /** The service of the next request; undefined when no part has a weight. */
  next(): string | undefined {
    if (this.total <= 0) return undefined;
    let best = 0;
    for (let index = 0; index < this.parts.length; index += 1) {
      this.credits[index]! += this.parts[index]!.weight;
      if (this.credits[index]! > this.credits[best]!) best = index;
    }
    this.credits[best]! -= this.total;
    return this.parts[best]!.service;
  }
}
