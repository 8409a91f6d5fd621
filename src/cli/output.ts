/** Output shared by all commands: errors, tables, JSON. */
import Table from 'cli-table3';
import type { BaseContext } from 'clipanion';
import { HallholdError, getErrorMessage } from '../errors/hallhold-error';

/** Exit codes: 0 success, 1 error, 2 a check or simulation found violations. */
export const ExitCode = { done: 0, failed: 1, violations: 2 } as const;

/** Writes an error to standard error and returns the exit code. */
export function printError(context: BaseContext, error: unknown): number {
  const text = error instanceof HallholdError ? error.describe() : getErrorMessage(error);
  context.stderr.write(`${text}\n`);
  return ExitCode.failed;
}

/** Prints rows as a text table with a header. */
export function printTable(
  context: BaseContext,
  head: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): void {
  const table = new Table({ head: [...head], style: { head: [], border: [] } });
  rows.forEach((row) => table.push([...row]));
  context.stdout.write(`${table.toString()}\n`);
}

/** Prints a value as one line of JSON. */
export function printJson(context: BaseContext, value: unknown): void {
  context.stdout.write(`${JSON.stringify(value)}\n`);
}
