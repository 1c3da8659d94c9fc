/** Facts that an entry VM collects about one order while it forwards it to home and witness. */
export class ForwardEvidence {
  private homeGone = false;

  private hasPossiblyArrived = false;

  private constructor() {
    // Instances are created only by `create`.
  }

  static create(): ForwardEvidence {
    return new ForwardEvidence();
  }

  /** Whether the home is gone or has handed its entries over, so that the witness decides. */
  get isHomeGone(): boolean {
    return this.homeGone;
  }

  /** Whether the order may have arrived at another member, which may still run it. */
  get mayHaveArrived(): boolean {
    return this.hasPossiblyArrived;
  }

  recordHomeGone(): void {
    this.homeGone = true;
  }

  recordPossibleArrival(): void {
    this.hasPossiblyArrived = true;
  }
}
