/** Service that receives a share of the requests, in proportion to its weight. */
export interface SplitPart {
  readonly service: string;
  readonly weight: number;
}

/**
 * Spreads requests over the parts of a split by their weights (smooth weighted round robin), so
 * that the shares hold over short times and not only on average. Load does not affect the split: a
 * request for which its service has no capacity is refused rather than sent to another part.
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

  /** A different `offset` (0 to 1) at each entry VM prevents them from choosing in lockstep. */
  static create(parts: readonly SplitPart[], offset: number): WeightedSplit {
    return new WeightedSplit(parts, offset);
  }

  /** Chooses the service of the next request; undefined if all weights are 0. */
  next(): string | undefined {
    if (this.total <= 0) return undefined;
    let bestIndex = 0;
    for (let index = 0; index < this.parts.length; index += 1) {
      this.credits[index]! += this.parts[index]!.weight;
      if (this.credits[index]! > this.credits[bestIndex]!) bestIndex = index;
    }
    this.credits[bestIndex]! -= this.total;
    return this.parts[bestIndex]!.service;
  }
}
