/** Error that names the step and the peer at which it arose. */
export class StepError extends Error {
  /** What was being done, for example `append log record`. */
  readonly step: string;

  /** The other end, for example `127.0.0.1:4100`, or `local`. */
  readonly peer: string;

  protected constructor(step: string, peer: string, detail: string, cause?: unknown) {
    super(`${step} (${peer}): ${detail}`, cause === undefined ? undefined : { cause });
    this.name = 'StepError';
    this.step = step;
    this.peer = peer;
  }

  /** Creates an error for a failed step. */
  static create(step: string, peer: string, detail: string, cause?: unknown): StepError {
    return new StepError(step, peer, detail, cause);
  }
}

/** Text of any thrown value. */
export const describeError = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);
