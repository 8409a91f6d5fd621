/** The table that operators edit: a list of target rows per service. */
import type { Endpoint } from '../environment';

/** A back end of a service and its limits. */
export interface TableRow {
  readonly target: string;
  /** Endpoint at which the target's agent receives internal frames. */
  readonly address: Endpoint;
  /** Relative weight for new flows; 0 drains the target. */
  readonly share: number;
  /** Maximum concurrent requests of the target. */
  readonly slots: number;
  /** Maximum number of flows of the target. */
  readonly connections: number;
}

/** A service's rows at one revision of the store. */
export interface ServiceTable {
  readonly service: string;
  /** Global store revision of the write that created this version; orders all tables. */
  readonly revision: number;
  /** Chosen by the writer to recognise its own write after a lost answer. */
  readonly writeId: string;
  readonly rows: readonly TableRow[];
}

/** A row that two operators changed concurrently. */
export interface RowConflict {
  readonly target: string;
  readonly base: TableRow | undefined;
  readonly theirs: TableRow | undefined;
  readonly ours: TableRow | undefined;
}

/** A difference of one row between two versions of a table. */
export interface RowChange {
  readonly target: string;
  readonly before: TableRow | undefined;
  readonly after: TableRow | undefined;
}

/** Whether two rows, or absences of one, are equal. */
export function areRowsEqual(a: TableRow | undefined, b: TableRow | undefined): boolean {
  if (a === undefined || b === undefined) {
    return a === b;
  }
  return (
    a.target === b.target &&
    a.address === b.address &&
    a.share === b.share &&
    a.slots === b.slots &&
    a.connections === b.connections
  );
}

function indexByTarget(rows: readonly TableRow[]): Map<string, TableRow> {
  return new Map(rows.map((row) => [row.target, row]));
}

/** The rows that differ, ordered by target name. */
export function findChangedRows(
  before: readonly TableRow[],
  after: readonly TableRow[],
): readonly RowChange[] {
  const oldRows = indexByTarget(before);
  const newRows = indexByTarget(after);
  const targets = [...new Set([...oldRows.keys(), ...newRows.keys()])].sort();
  return targets
    .map((target) => ({ target, before: oldRows.get(target), after: newRows.get(target) }))
    .filter((change) => !areRowsEqual(change.before, change.after));
}

/** The rows that both sides changed differently since `base`. */
export function findConflictingRows(
  base: readonly TableRow[],
  theirs: readonly TableRow[],
  ours: readonly TableRow[],
): readonly RowConflict[] {
  const theirChanges = new Map(
    findChangedRows(base, theirs).map((change) => [change.target, change]),
  );
  return findChangedRows(base, ours).flatMap((mine) => {
    const other = theirChanges.get(mine.target);
    if (!other || areRowsEqual(other.after, mine.after)) {
      return [];
    }
    return [{ target: mine.target, base: mine.before, theirs: other.after, ours: mine.after }];
  });
}
