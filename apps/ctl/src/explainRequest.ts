/** Log line of a request and the file that contains it. */
export interface RequestLine {
  readonly file: string;
  readonly text: string;
}

/** Log lines and outcome of one request. */
export interface RequestExplanation {
  /** Lines from all files, sorted by time. */
  readonly lines: readonly RequestLine[];
  /** One sentence that states the outcome of the request and its cause. */
  readonly cause: string;
}

const TIME_PATTERN = /\d{4}-\d\d-\d\dT[\d:.]+Z/;

const readTime = ({ text }: RequestLine): string => TIME_PATTERN.exec(text)?.[0] ?? '';

const readField = (text: string, name: string): string | undefined => {
  const match = new RegExp(`(?:^|\\s)${name}=("(?:[^"\\\\]|\\\\.)*"|\\S+)`).exec(text);
  return match?.[1]?.replace(/^"|"$/g, '');
};

const REFUSAL_CAUSES: Readonly<Record<string, string>> = {
  'no-instance': 'no instance of the service could be used',
  overloaded: 'no instance with a free slot and a usual service time was found in time',
  shed: 'the instances that received the request refused it, and the retry budget allowed no further attempt',
  expired: 'too little time was left before the deadline to send the request',
};

const FAILURE_CAUSES: Readonly<Record<string, string>> = {
  timeout: 'an instance did not respond before the timeout; the request may have run',
  'instance-failed': 'an instance failed after the request was sent; it may have run',
  'caller-gone': 'the caller closed the connection before the response',
  'too-large': 'the response was larger than the limit',
};

const explainLine = (text: string): string | undefined => {
  const reason = readField(text, 'reason') ?? '';
  if (text.includes(' refused: state not known yet')) {
    return 'Refused, not run: the process had just started and had no configuration yet.';
  }
  if (text.includes(' no route ')) {
    const version = readField(text, 'version') ?? 'unknown';
    return `Not found: configuration version ${version} has no route for the host and path of the request.`;
  }
  if (text.includes('] refused ')) {
    return `Refused, not run: ${REFUSAL_CAUSES[reason] ?? reason}.`;
  }
  if (text.includes('] failed ')) return `Failed: ${FAILURE_CAUSES[reason] ?? reason}.`;
  if (text.includes('] attempt answered ')) {
    const instance = readField(text, 'instance') ?? 'an instance';
    const status = readField(text, 'status') ?? '?';
    return `Answered with status ${status} by instance ${instance}.`;
  }
  return undefined;
};

/** Collects the lines of a request from several logs and derives its outcome. */
export const explainRequest = (
  requestId: string,
  files: readonly { readonly name: string; readonly text: string }[],
): RequestExplanation => {
  const lines = files.flatMap(({ name, text }) =>
    text
      .split('\n')
      .filter((line) => readField(line, 'request') === requestId)
      .map((line) => ({ file: name, text: line.trim() })),
  );
  const sorted = lines.sort((left, right) => (readTime(left) < readTime(right) ? -1 : 1));
  const causes = sorted.flatMap(({ text }) => explainLine(text) ?? []);
  const cause = causes.at(-1);
  if (sorted.length === 0) return { lines: [], cause: 'No log line of this request was found.' };
  return { lines: sorted, cause: cause ?? 'The logs contain no outcome of this request.' };
};
