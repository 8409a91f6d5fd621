/**
 * Accepts operators' edits: compare-and-set in the store, then copies at peers.
 *
 * When the answer to a write is lost, the same write is sent again (the store's
 * compare-and-set makes that harmless) and the table is read back until its list
 * of write ids tells what happened. Until then the outcome is said to be unknown.
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

/** Copies at peers, besides the store and this node, before an edit counts as accepted. */
const COPIES_WANTED = 2;
const PURSUE_INTERVAL = 500;
const WRITE_AGAIN_FOR = 10_000;
const UNKNOWN_SAID_AFTER = 5_000;
const PURSUE_FOR = 600_000;
/** Outcomes kept for `status`. */
const OUTCOMES_KEPT = 1_000;

/** An operator's edit of one service's rows. */
export interface TableEdit {
  readonly service: string;
  readonly rows: readonly TableRow[];
  /** Revision the operator saw; 0 when the service had no table. */
  readonly baseRevision: number;
  /** Rows the operator saw, to name conflicts row by row. */
  readonly baseRows: readonly TableRow[];
  readonly writeId: string;
}

/** An edit in force. */
export interface AcceptedEdit {
  readonly revision: number;
  /** Peers that confirmed a copy. */
  readonly copies: number;
}

/** How far an edit is. */
export type EditStatus =
  | { readonly state: 'pending' }
  | { readonly state: 'accepted'; readonly accepted: AcceptedEdit }
  | { readonly state: 'refused'; readonly error: HallholdError };

/** Receives the outcome of an edit. */
export type EditAnswer = (result: Result<AcceptedEdit, HallholdError>) => void;

/** What acceptance needs from its surroundings. */
export interface AcceptanceSurroundings {
  /** Puts an accepted table in force here and has it copied. */
  distribute(table: ServiceTable, copies: number, done: (confirmed: number) => void): void;
}

interface PendingEdit {
  readonly edit: TableEdit;
  readonly startedAt: number;
  readonly answer: EditAnswer;
  answered: boolean;
}

/** Takes operators' edits to the store. */
export class TableAcceptance {
  private readonly statuses = new Map<string, EditStatus>();

  constructor(
    private readonly context: BalancerContext,
    private readonly store: StorePort,
    private readonly surroundings: AcceptanceSurroundings,
  ) {}

  /** The status of an edit by its write id; undefined when this balancer has not seen it. */
  status(writeId: string): EditStatus | undefined {
    return this.statuses.get(writeId);
  }

  /**
   * Submits an edit; answers once. Error 1102 on a conflict, 1104 when the outcome is
   * not known yet (it is pursued, see {@link status}), 1201 when the store was never reached.
   */
  submit(edit: TableEdit, answer: EditAnswer): void {
    const startedAt = this.context.environment.now();
    const pending: PendingEdit = { edit, startedAt, answer, answered: false };
    this.remember(edit.writeId, { state: 'pending' });
    this.context.environment.startTimer(UNKNOWN_SAID_AFTER, () => this.sayUnknown(pending));
    this.write(pending);
  }

  private write(pending: PendingEdit): void {
    const { edit } = pending;
    this.store.write(edit, edit.baseRevision, (result) => {
      if (result.ok) {
        this.accept(pending, result.val);
      } else if (result.val.resultCode.retry === 'never') {
        this.readBack(pending);
      } else {
        this.pursueLater(pending);
      }
    });
  }

  private pursueLater(pending: PendingEdit): void {
    const elapsed = this.context.environment.now() - pending.startedAt;
    if (elapsed > PURSUE_FOR) {
      return;
    }
    this.context.environment.startTimer(PURSUE_INTERVAL, () => {
      if (elapsed < WRITE_AGAIN_FOR) {
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
        this.pursueLater(pending);
        return;
      }
      const stored = result.val;
      const written = stored?.recentWriteIds.includes(edit.writeId) ?? false;
      if (written) {
        this.accept(pending, stored!.table.revision, stored!.table);
      } else if ((stored?.table.revision ?? 0) === edit.baseRevision) {
        this.pursueLater(pending);
      } else {
        this.refuse(pending, conflictError(edit, stored));
      }
    });
  }

  private accept(pending: PendingEdit, revision: number, stored?: ServiceTable): void {
    const { service, rows, writeId } = pending.edit;
    const table = stored ?? { service, rows, writeId, revision };
    this.surroundings.distribute(table, COPIES_WANTED, (copies) => {
      const accepted = { revision, copies };
      this.context.environment.report(Events.tableAccepted, { service, revision, copies });
      this.conclude(pending, { state: 'accepted', accepted }, new Ok(accepted));
    });
  }

  private refuse(pending: PendingEdit, error: HallholdError): void {
    const { service } = pending.edit;
    this.context.environment.report(Events.tableRefused, { service, reason: error.message });
    this.conclude(pending, { state: 'refused', error }, new Err(error));
  }

  private sayUnknown(pending: PendingEdit): void {
    if (pending.answered) {
      return;
    }
    const { service, writeId } = pending.edit;
    this.context.environment.report(Events.tableOutcomeUnknown, { service, writeId });
    pending.answered = true;
    const text = 'the store has not answered; whether the edit took effect is not known yet';
    pending.answer(
      new Err(new HallholdError(ResultCodes.tableOutcomeUnknown, text, [`write id ${writeId}`])),
    );
  }

  private conclude(
    pending: PendingEdit,
    status: EditStatus,
    result: Result<AcceptedEdit, HallholdError>,
  ): void {
    this.remember(pending.edit.writeId, status);
    if (!pending.answered) {
      pending.answered = true;
      pending.answer(result);
    }
  }

  private remember(writeId: string, status: EditStatus): void {
    this.statuses.set(writeId, status);
    if (this.statuses.size > OUTCOMES_KEPT) {
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

/** Names the rows that collide, or else those that others changed meanwhile. */
function conflictError(edit: TableEdit, stored: StoredTable | undefined): HallholdError {
  const theirs = stored?.table.rows ?? [];
  const revision = stored?.table.revision ?? 0;
  const colliding = findConflictingRows(edit.baseRows, theirs, edit.rows).map(
    (row) =>
      `row ${row.target}: was ${describeRow(row.base)}; now ${describeRow(row.theirs)}; yours ${describeRow(row.ours)}`,
  );
  const changed = findChangedRows(edit.baseRows, theirs).map(
    (row) =>
      `row ${row.target} changed meanwhile to ${describeRow(row.after)}; yours does not collide`,
  );
  const text = `the table of ${edit.service} is at revision ${revision}, your edit is based on ${edit.baseRevision}`;
  return new HallholdError(
    ResultCodes.tableConflict,
    text,
    colliding.length > 0 ? colliding : changed,
  );
}
