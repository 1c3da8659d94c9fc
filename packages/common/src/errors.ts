/** Error that states which step failed and which peer was involved. */
export class StepError extends Error {
  /** The failed operation, for example `append log record`. */
  readonly step: string;

  /** Address of the other process, for example `127.0.0.1:4100`, or `local`. */
  readonly peer: string;

  protected constructor(step: string, peer: string, detail: string, cause?: unknown) {
    super(`${step} (${peer}): ${detail}`, cause === undefined ? undefined : { cause });
    this.name = 'StepError';
    this.step = step;
    this.peer = peer;
  }

  static create(step: string, peer: string, detail: string, cause?: unknown): StepError {
    return new StepError(step, peer, detail, cause);
  }
}

/** Converts a thrown value of any type to a message. */
export const describeError = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);
