import {
  LogStandin,
  parseNumberOption,
  parseOptionalNumber,
  runStandin,
} from '@bronzelift/standins';
import { Cli, Command, Option } from 'clipanion';

/** Runs the stand-in for the log service, with optional rate and retention limits. */
class LogCommand extends Command {
  static override usage = Command.Usage({ description: 'Runs the stand-in for the log service.' });

  port = Option.String('--port', '4100');

  host = Option.String('--host', '127.0.0.1');

  appendsPerSecond = Option.String('--appends-per-second');

  retentionMs = Option.String('--retention-ms');

  retentionRecords = Option.String('--retention-records');

  firstOffset = Option.String('--first-offset');

  override async execute(): Promise<void> {
    const standin = LogStandin.create({
      appendsPerSecond: parseOptionalNumber('--appends-per-second', this.appendsPerSecond),
      retentionMs: parseOptionalNumber('--retention-ms', this.retentionMs),
      retentionRecords: parseOptionalNumber('--retention-records', this.retentionRecords),
      firstOffset: parseOptionalNumber('--first-offset', this.firstOffset),
    });
    await runStandin('standin-log', standin, parseNumberOption('--port', this.port), this.host);
  }
}

const cli = new Cli({ binaryName: 'bronzelift-standin-log' });
cli.register(LogCommand);
await cli.runExit(process.argv.slice(2));
