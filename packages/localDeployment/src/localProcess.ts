import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { fileURLToPath } from 'node:url';

const REPOSITORY = fileURLToPath(new URL('../../../', import.meta.url));

/** Returns Node options, including those from BRONZELIFT_NODE_OPTIONS, for example for profiling. */
const readNodeOptions = (): string[] => [
  '--enable-source-maps',
  ...(process.env.BRONZELIFT_NODE_OPTIONS ?? '').split(' ').filter((option) => option !== ''),
];

/** Runs a binary of this repository as a child process and writes its output to a file. */
export class LocalProcess {
  /** Resolves with the exit code, or with the signal that terminated the process. */
  readonly ended: Promise<number | NodeJS.Signals>;

  private hasExited = false;

  private constructor(
    readonly name: string,
    private readonly child: ChildProcess,
    readonly outputPath: string,
  ) {
    const output = createWriteStream(outputPath, { flags: 'a' });
    child.stdout?.pipe(output, { end: false });
    child.stderr?.pipe(output, { end: false });
    this.ended = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        this.hasExited = true;
        output.end();
        resolve(signal ?? code ?? 0);
      });
    });
  }

  /** Starts `apps/<app>/bin/<binary>.js` with the given arguments. */
  static create(
    app: string,
    binary: string,
    args: readonly string[],
    outputPath: string,
  ): LocalProcess {
    const script = `${REPOSITORY}apps/${app}/bin/${binary}.js`;
    const child = spawn(process.execPath, [...readNodeOptions(), script, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    return new LocalProcess(binary, child, outputPath);
  }

  /** Process id, or -1 if the process could not be started. */
  get pid(): number {
    return this.child.pid ?? -1;
  }

  get isRunning(): boolean {
    return !this.hasExited;
  }

  /** Sends a signal; does nothing after the process has ended. */
  signal(signal: NodeJS.Signals): void {
    if (this.isRunning) this.child.kill(signal);
  }

  /** Stops the process with SIGTERM, and with SIGKILL if it still runs after `limitMs`. */
  async stop(limitMs = 3_000): Promise<void> {
    if (!this.isRunning) return;
    this.signal('SIGCONT');
    this.signal('SIGTERM');
    const timer = setTimeout(() => this.signal('SIGKILL'), limitMs);
    await this.ended;
    clearTimeout(timer);
  }
}
