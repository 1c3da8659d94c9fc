/** What an entry VM has learned about one order while it tries to have it decided. */
export class Evidence {
  private homeGone = false;

  private reached = false;

  private constructor() {
    // Created by `create`.
  }

  static create(): Evidence {
    return new Evidence();
  }

  /** Whether the home is gone, or has left the decision to the witness. */
  get isHomeGone(): boolean {
    return this.homeGone;
  }

  /** Whether the order may have arrived at another member. */
  get wasReached(): boolean {
    return this.reached;
  }

  noteHomeGone(): void {
    this.homeGone = true;
  }

  noteReached(): void {
    this.reached = true;
  }
}
