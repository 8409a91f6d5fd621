/** Parses, validates and formats table rows in the CSV and JSON forms of operators. */
import { parse } from 'csv-parse/sync';
import { stringify } from 'csv-stringify/sync';
import { Err, Ok, type Result } from 'ts-results';
import { z } from 'zod';
import { formatEndpoint, parseEndpoint } from '../core/endpoint';
import type { TableRow } from '../core/table';
import { createFailure, HallholdError, getErrorMessage } from '../errors/hallhold-error';
import { ResultCodes } from '../errors/result-codes';

const MAXIMUM_SHARE = 1_000_000;
const MAXIMUM_LIMIT = 10_000_000;
const COLUMNS = ['service', 'target', 'address', 'share', 'slots', 'connections'] as const;
const FIRST_DATA_LINE = 2;

const nameSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, 'must be lower-case letters, digits, "-" or "."');

const decimalSchema = z
  .union([z.number(), z.string().regex(/^\d+(\.\d+)?$/, 'must be a number, 0 or more')])
  .transform(Number);

/** Schema of one row, from CSV cells or JSON. */
export const rowSchema = z.strictObject({
  service: nameSchema,
  target: nameSchema,
  address: z
    .string()
    .refine((text) => parseEndpoint(text).ok, 'must be an IPv4 address with a port')
    .transform((text) => parseEndpoint(text).unwrap()),
  share: decimalSchema.pipe(z.number().min(0).max(MAXIMUM_SHARE)),
  slots: decimalSchema.pipe(z.number().int().min(0).max(MAXIMUM_LIMIT)),
  connections: decimalSchema.pipe(z.number().int().min(0).max(MAXIMUM_LIMIT)),
});

/** Rows of one service. */
export interface ServiceRows {
  readonly service: string;
  readonly rows: readonly TableRow[];
}

/** A row in the form of the operators' API. */
export interface RowView {
  readonly service: string;
  readonly target: string;
  readonly address: string;
  readonly share: number;
  readonly slots: number;
  readonly connections: number;
}

/** Converts stored rows to the form of the operators' API. */
export function createRowViews(service: string, rows: readonly TableRow[]): RowView[] {
  return rows.map((row) => ({
    service,
    target: row.target,
    address: formatEndpoint(row.address),
    share: row.share,
    slots: row.slots,
    connections: row.connections,
  }));
}

/** Converts rows from the operators' API to stored rows. The API has validated them before. */
export function parseRowViews(views: readonly RowView[]): TableRow[] {
  return views.map(({ target, address, share, slots, connections }) => ({
    target,
    address: parseEndpoint(address).unwrap(),
    share,
    slots,
    connections,
  }));
}

/** Validates row objects; `formatLocation` names a row in errors, for example "line 3". */
export function checkRows(
  values: readonly unknown[],
  formatLocation: (index: number) => string,
): Result<readonly ServiceRows[], HallholdError> {
  const services = new Map<string, TableRow[]>();
  const problems: string[] = [];
  const locations = new Map<string, string>();
  values.forEach((value, index) => {
    const checked = rowSchema.safeParse(value);
    if (!checked.success) {
      problems.push(...describeIssues(checked.error, formatLocation(index)));
      return;
    }
    const { service, ...row } = checked.data;
    for (const key of [
      `target ${service}/${row.target}`,
      `address ${formatEndpoint(row.address)}`,
    ]) {
      const earlier = locations.get(key);
      if (earlier) {
        problems.push(
          `${formatLocation(index)}, column ${key.split(' ')[0]}: ${key} stands at ${earlier} already`,
        );
      }
      locations.set(key, formatLocation(index));
    }
    services.set(service, [...(services.get(service) ?? []), row]);
  });
  if (problems.length > 0) {
    return createFailure(
      ResultCodes.tableInvalid,
      `the table has ${problems.length} errors`,
      problems,
    );
  }
  return new Ok([...services].map(([service, rows]) => ({ service, rows })));
}

/** Parses a CSV table. Error 1101 lists each invalid cell by line, column and reason. */
export function parseCsvTable(text: string): Result<readonly ServiceRows[], HallholdError> {
  try {
    const records = parse(text, { bom: true, skip_empty_lines: true, trim: true }) as string[][];
    const [header, ...rows] = records;
    const isHeaderWrong = !header || header.join(',') !== COLUMNS.join(',');
    if (isHeaderWrong) {
      const detail = `line 1: the columns must be ${COLUMNS.join(',')}`;
      return createFailure(ResultCodes.tableInvalid, 'the header is invalid', [detail]);
    }
    const values = rows.map((row) =>
      Object.fromEntries(COLUMNS.map((key, column) => [key, row[column]])),
    );
    return checkRows(values, (index) => `line ${index + FIRST_DATA_LINE}`);
  } catch (error) {
    return new Err(new HallholdError(ResultCodes.tableInvalid, getErrorMessage(error)));
  }
}

/** Formats rows as CSV with a header. */
export function formatCsvTable(rows: readonly RowView[]): string {
  return stringify([...rows], { header: true, columns: [...COLUMNS] });
}

function describeIssues(error: z.ZodError, location: string): string[] {
  return error.issues.map(
    (issue) => `${location}, column ${issue.path.join('.')}: ${issue.message}`,
  );
}
