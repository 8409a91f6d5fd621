/** `hallhold table diff FILE`: shows what `table put` of a file would change. */
import { Option } from 'clipanion';
import { findChangedRows, type TableRow } from '../core/table';
import { parseRowViews, createRowViews } from '../operator/table-rows';
import { ExitCode, printError } from './output';
import { readTable, TableCommand } from './table-commands';

export class TableDiffCommand extends TableCommand {
  static override paths = [['table', 'diff']];
  static override usage = TableCommand.Usage({
    description: 'Show which rows a CSV table would change.',
    examples: [['Before table put', '$0 table diff table.csv --api http://127.0.1.1:7080']],
  });

  file = Option.String();

  async execute(): Promise<number> {
    const parsed = readTable(this.file);
    if (parsed.err) {
      return printError(this.context, parsed.val);
    }
    for (const { service, rows } of parsed.val) {
      const current = await this.client.getTable(service);
      if (current.err) {
        return printError(this.context, current.val);
      }
      const changes = findChangedRows(parseRowViews(current.val.rows), rows);
      this.context.stdout.write(`${service} at revision ${current.val.revision}:\n`);
      for (const { before, after } of changes) {
        this.writeRow(service, '-', before);
        this.writeRow(service, '+', after);
      }
    }
    return ExitCode.done;
  }

  private writeRow(service: string, sign: string, row: TableRow | undefined): void {
    const [view] = row ? createRowViews(service, [row]) : [];
    if (view) {
      this.context.stdout.write(`  ${sign} ${Object.values(view).join(',')}\n`);
    }
  }
}
