/**
 * Accepts operators' edits: compare-and-set in the store, then replication to peers.
 *
 * When the answer to a write is lost, the same write is repeated, which compare-and-set
 * makes safe, and the table is read back until its list of write ids shows the outcome.
 * Until then the outcome is reported as unknown.
 */
import { Err, Ok, type Result } from 'ts-results';
import {
  findConflictingRows,
  findChangedRows,
  type TableRow,
  type ServiceTable,
} from '../core/table';
import { formatEndpoint } from '../core/endpoint';
import { HallholdError } from '../errors/hallhold-error';
import { ResultCodes } from '../errors/result-codes';
import { Events } from '../logging/events';
import type { StorePort, StoredTable } from '../table-store/store-port';
import type { BalancerContext } from './balancer-context';

/** Replicas at peers, besides the store and this node, awaited before an edit is accepted. */
const REQUIRED_COPIES = 2;
const RETRY_INTERVAL_MS = 500;
const WRITE_RETRY_PERIOD_MS = 10_000;
const UNKNOWN_OUTCOME_DELAY_MS = 5_000;
const RETRY_PERIOD_MS = 600_000;
/** Statuses retained for {@link TableAcceptance.getStatus}. */
const MAXIMUM_STATUSES = 1_000;

/** An operator's edit of one service's rows. */
export interface TableEdit {
  readonly service: string;
  readonly rows: readonly TableRow[];
  /** Revision the operator saw; 0 when the service had no table. */
  readonly baseRevision: number;
  /** Rows the operator saw, from which conflicts are reported row by row. */
  readonly baseRows: readonly TableRow[];
  readonly writeId: string;
}

/** An edit that is active. */
export interface AcceptedEdit {
  readonly revision: number;
  /** Peers that confirmed a copy. */
  readonly copies: number;
}

/** Status of an edit. */
export type EditStatus =
  | { readonly state: 'pending' }
  | { readonly state: 'accepted'; readonly accepted: AcceptedEdit }
  | { readonly state: 'refused'; readonly error: HallholdError };

/** Receives the outcome of an edit. */
export type EditCallback = (result: Result<AcceptedEdit, HallholdError>) => void;

/** Dependencies of the acceptance. */
export interface TableAcceptanceDependencies {
  /** Activates an accepted table here and replicates it to `copies` peers. */
  distributeTable(table: ServiceTable, copies: number, onDone: (confirmed: number) => void): void;
}

interface PendingEdit {
  readonly edit: TableEdit;
  readonly startedAt: number;
  readonly callback: EditCallback;
  isAnswered: boolean;
}

/** Writes operators' edits to the store and tracks their outcome. */
export class TableAcceptance {
  private readonly statuses = new Map<string, EditStatus>();

  constructor(
    private readonly context: BalancerContext,
    private readonly store: StorePort,
    private readonly dependencies: TableAcceptanceDependencies,
  ) {}

  /** The status of an edit by its write id; undefined when this balancer does not know it. */
  getStatus(writeId: string): EditStatus | undefined {
    return this.statuses.get(writeId);
  }

  /**
   * Submits an edit; calls back once. Error 1102 on a conflict, 1104 when the outcome is not
   * known yet (retries go on, see {@link getStatus}), 1201 when the store was never reached.
   */
  submit(edit: TableEdit, callback: EditCallback): void {
    const startedAt = this.context.environment.now();
    const pending: PendingEdit = { edit, startedAt, callback, isAnswered: false };
    this.recordStatus(edit.writeId, { state: 'pending' });
    this.context.environment.startTimer(UNKNOWN_OUTCOME_DELAY_MS, () =>
      this.reportUnknownOutcome(pending),
    );
    this.write(pending);
  }

  private write(pending: PendingEdit): void {
    const { edit } = pending;
    this.store.write(edit, edit.baseRevision, (result) => {
      if (result.ok) {
        this.acceptEdit(pending, result.val);
      } else if (result.val.resultCode.retry === 'never') {
        this.readBack(pending);
      } else {
        this.scheduleRetry(pending);
      }
    });
  }

  private scheduleRetry(pending: PendingEdit): void {
    const elapsed = this.context.environment.now() - pending.startedAt;
    if (elapsed > RETRY_PERIOD_MS) {
      return;
    }
    this.context.environment.startTimer(RETRY_INTERVAL_MS, () => {
      if (elapsed < WRITE_RETRY_PERIOD_MS) {
        this.write(pending);
      } else {
        this.readBack(pending);
      }
    });
  }

  private readBack(pending: PendingEdit): void {
    const { edit } = pending;
    this.store.read(edit.service, (result) => {
      if (result.err) {
        this.scheduleRetry(pending);
        return;
      }
      const stored = result.val;
      const isWritten = stored?.recentWriteIds.includes(edit.writeId) ?? false;
      if (isWritten) {
        this.acceptEdit(pending, stored!.table.revision, stored!.table);
      } else if ((stored?.table.revision ?? 0) === edit.baseRevision) {
        this.scheduleRetry(pending);
      } else {
        this.refuseEdit(pending, createConflictError(edit, stored));
      }
    });
  }

  private acceptEdit(pending: PendingEdit, revision: number, stored?: ServiceTable): void {
    const { service, rows, writeId } = pending.edit;
    const table = stored ?? { service, rows, writeId, revision };
    this.dependencies.distributeTable(table, REQUIRED_COPIES, (copies) => {
      const accepted = { revision, copies };
      this.context.environment.report(Events.tableAccepted, { service, revision, copies });
      this.finishEdit(pending, { state: 'accepted', accepted }, new Ok(accepted));
    });
  }

  private refuseEdit(pending: PendingEdit, error: HallholdError): void {
    const { service } = pending.edit;
    this.context.environment.report(Events.tableRefused, { service, reason: error.message });
    this.finishEdit(pending, { state: 'refused', error }, new Err(error));
  }

  private reportUnknownOutcome(pending: PendingEdit): void {
    if (pending.isAnswered) {
      return;
    }
    const { service, writeId } = pending.edit;
    this.context.environment.report(Events.tableOutcomeUnknown, { service, writeId });
    pending.isAnswered = true;
    const text = 'the store has not answered; whether the edit took effect is not known yet';
    pending.callback(
      new Err(new HallholdError(ResultCodes.tableOutcomeUnknown, text, [`write id ${writeId}`])),
    );
  }

  private finishEdit(
    pending: PendingEdit,
    status: EditStatus,
    result: Result<AcceptedEdit, HallholdError>,
  ): void {
    this.recordStatus(pending.edit.writeId, status);
    if (!pending.isAnswered) {
      pending.isAnswered = true;
      pending.callback(result);
    }
  }

  private recordStatus(writeId: string, status: EditStatus): void {
    this.statuses.set(writeId, status);
    if (this.statuses.size > MAXIMUM_STATUSES) {
      const oldest = this.statuses.keys().next().value as string;
      this.statuses.delete(oldest);
    }
  }
}

function describeRow(row: TableRow | undefined): string {
  if (!row) {
    return 'no row';
  }
  const { share, slots, connections, address } = row;
  const limits = `share ${share}, slots ${slots}, connections ${connections}`;
  return `${formatEndpoint(address)}, ${limits}`;
}

/** Lists the conflicting rows, or if there are none the rows that others have changed. */
function createConflictError(edit: TableEdit, stored: StoredTable | undefined): HallholdError {
  const storedRows = stored?.table.rows ?? [];
  const revision = stored?.table.revision ?? 0;
  const conflicts = findConflictingRows(edit.baseRows, storedRows, edit.rows).map(
    (row) =>
      `row ${row.target}: was ${describeRow(row.base)}; now ${describeRow(row.theirs)}; yours ${describeRow(row.ours)}`,
  );
  const otherChanges = findChangedRows(edit.baseRows, storedRows).map(
    (row) =>
      `row ${row.target} changed meanwhile to ${describeRow(row.after)}; yours does not collide`,
  );
  const text = `the table of ${edit.service} is at revision ${revision}, your edit is based on ${edit.baseRevision}`;
  return new HallholdError(
    ResultCodes.tableConflict,
    text,
    conflicts.length > 0 ? conflicts : otherChanges,
  );
}
