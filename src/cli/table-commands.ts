/** `hallhold table get|put|status`: reads and edits tables through the API of a balancer. */
import { randomUUID } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { Command, Option } from 'clipanion';
import { Ok, type Result } from 'ts-results';
import { createFailure, getErrorMessage, type HallholdError } from '../errors/hallhold-error';
import { ResultCodes } from '../errors/result-codes';
import { OperatorClient } from '../operator/operator-client';
import {
  formatCsvTable,
  parseCsvTable,
  createRowViews,
  type ServiceRows,
} from '../operator/table-rows';
import { ExitCode, printError, printJson, printTable } from './output';

const API_DESCRIPTION = "URL of a balancer's admin address";

/** Base class with the options of all table commands. */
export abstract class TableCommand extends Command {
  api = Option.String('--api', { required: true, description: API_DESCRIPTION });

  protected get client(): OperatorClient {
    return new OperatorClient(this.api);
  }
}

export class TableGetCommand extends TableCommand {
  static override paths = [['table', 'get']];
  static override usage = Command.Usage({
    description: 'Print the active tables as CSV.',
    examples: [
      ['All tables', '$0 table get --api http://127.0.1.1:7080 > table.csv'],
      ['One service', '$0 table get live-map --api http://127.0.1.1:7080'],
    ],
  });

  service = Option.String({ required: false });

  async execute(): Promise<number> {
    const result = await this.client.listTables();
    if (result.err) {
      return printError(this.context, result.val);
    }
    const selected = result.val.filter(
      ({ service }) => this.service === undefined || service === this.service,
    );
    const rows = selected.flatMap((table) => table.rows);
    this.context.stdout.write(formatCsvTable(rows));
    return ExitCode.done;
  }
}

export class TablePutCommand extends TableCommand {
  static override paths = [['table', 'put']];
  static override usage = Command.Usage({
    description: 'Apply a CSV table.',
    details:
      'Columns: service,target,address,share,slots,connections. Every service named in the file ' +
      'gets exactly the given rows. A file with any invalid row changes nothing.',
    examples: [
      ['Apply a file', '$0 table put table.csv --api http://127.0.1.1:7080'],
      [
        'Only if nobody edited since',
        '$0 table put table.csv --base 42 --api http://127.0.1.1:7080',
      ],
    ],
  });

  file = Option.String();
  base = Option.String('--base', { description: 'Revision the file was edited from' });

  async execute(): Promise<number> {
    const parsed = readTable(this.file);
    if (parsed.err) {
      return printError(this.context, parsed.val);
    }
    for (const group of parsed.val) {
      const accepted = await this.putService(group);
      if (accepted.err) {
        return printError(this.context, accepted.val);
      }
      this.context.stdout.write(`${accepted.val}\n`);
    }
    return ExitCode.done;
  }

  private async putService(group: ServiceRows): Promise<Result<string, HallholdError>> {
    const current = await this.client.getTable(group.service);
    if (current.err) {
      return current;
    }
    const baseRevision = this.base === undefined ? current.val.revision : Number(this.base);
    const result = await this.client.putTable(group.service, {
      baseRevision,
      baseRows: current.val.rows,
      rows: createRowViews(group.service, group.rows),
      writeId: randomUUID(),
    });
    return result.map(
      ({ revision, copies }) =>
        `${group.service}: ${group.rows.length} rows accepted at revision ${revision}, ${copies} copies confirmed`,
    );
  }
}

export class TableStatusCommand extends TableCommand {
  static override paths = [['table', 'status']];
  static override usage = Command.Usage({
    description: 'Show the revision of every table, or the outcome of one write.',
    examples: [
      ['Revisions', '$0 table status --api http://127.0.1.1:7080'],
      [
        'A write whose outcome was unknown',
        '$0 table status --write ID --api http://127.0.1.1:7080',
      ],
    ],
  });

  write = Option.String('--write', {
    description: 'Write id given in an "outcome unknown" error',
  });

  async execute(): Promise<number> {
    if (this.write !== undefined) {
      const status = await this.client.getWriteStatus(this.write);
      if (status.err) {
        return printError(this.context, status.val);
      }
      printJson(this.context, status.val);
      return ExitCode.done;
    }
    const result = await this.client.listTables();
    if (result.err) {
      return printError(this.context, result.val);
    }
    const rows = result.val.map(({ service, revision, rows: tableRows }) => [
      service,
      revision,
      tableRows.length,
      tableRows
        .filter((row) => row.share === 0)
        .map((row) => row.target)
        .join(' '),
    ]);
    printTable(this.context, ['service', 'revision', 'targets', 'share 0'], rows);
    return ExitCode.done;
  }
}

/** Reads and validates a CSV file. Error 1101 when it is invalid, 1105 when it is unreadable. */
export function readTable(file: string): Result<readonly ServiceRows[], HallholdError> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    return createFailure(ResultCodes.tableFileUnreadable, getErrorMessage(error));
  }
  const parsed = parseCsvTable(text);
  return parsed.ok ? new Ok(parsed.val) : parsed;
}
