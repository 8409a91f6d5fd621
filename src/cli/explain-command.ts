/** `hallhold explain`: outcome of a request or flow, from the logs of all processes. */
import { readFileSync } from 'node:fs';
import { Command, Option } from 'clipanion';
import { createFailure, getErrorMessage } from '../errors/hallhold-error';
import { ResultCodes } from '../errors/result-codes';
import { explain, type Explanation } from '../explain/explanation';
import { parseLog, type LogRecord } from '../explain/log-reader';
import { printError } from './output';

const STDIN_DESCRIPTOR = 0;

export class ExplainCommand extends Command {
  static override paths = [['explain']];
  static override usage = Command.Usage({
    description: 'Explain the outcome of a request or flow.',
    details:
      'Reads the log files of any number of processes, or standard input, and prints the records of one request id or one client "address:port" by time, with the likely cause of a failure.',
    examples: [
      ['A request id', '$0 explain bcebcdc4a9731f35 front.log side.log'],
      ['A flow, as JSON', '$0 explain 100.65.0.20:1046 --json < all.log'],
    ],
  });

  id = Option.String({ required: true });
  files = Option.Rest();
  json = Option.Boolean('--json', false, { description: 'Print one JSON object' });

  async execute(): Promise<number> {
    let text: string;
    try {
      text = this.readLogs();
    } catch (error) {
      return printError(
        this.context,
        createFailure(ResultCodes.logUnreadable, getErrorMessage(error)).val,
      );
    }
    const explanation = explain(parseLog(text), this.id);
    this.context.stdout.write(
      this.json ? `${JSON.stringify(explanation)}\n` : formatExplanation(explanation),
    );
    return explanation.client === undefined ? 1 : 0;
  }

  private readLogs(): string {
    const sources = this.files.length > 0 ? this.files : [STDIN_DESCRIPTOR];
    return sources.map((source) => readFileSync(source, 'utf8')).join('\n');
  }
}

function formatExplanation({ story, cause }: Explanation): string {
  const start = story[0]?.time ?? 0;
  const lines = story.map((record) => formatRecord(record, start));
  return [...lines, `likely cause: ${cause}`, ''].join('\n');
}

function formatRecord({ time, source, message, fields }: LogRecord, start: number): string {
  const offset = `+${time - start}`.padStart(7);
  return `${offset} ms  ${source}  ${message}  ${JSON.stringify(fields)}`;
}
