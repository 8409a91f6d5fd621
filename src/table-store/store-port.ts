/**
 * The platform's store as a node sees it. Implemented over HTTP for real processes
 * and by the simulated store; answers come by callback so that node classes stay
 * free of promises and their order stays deterministic.
 */
import type { Result } from 'ts-results';
import type { TableDelta } from '../core/table-cache';
import type { ServiceTable, TableRow } from '../core/table';
import type { HallholdError } from '../errors/hallhold-error';

/** A table as written, before the store gives it a revision. */
export interface TableWrite {
  readonly service: string;
  readonly rows: readonly TableRow[];
  readonly writeId: string;
}

/** A stored table with the ids of its latest writes, newest first. */
export interface StoredTable {
  readonly table: ServiceTable;
  readonly recentWriteIds: readonly string[];
}

/** One machine of the platform's list, which may be out of date. */
export interface MachineRecord {
  /** IPv4 address. */
  readonly address: string;
  readonly leaving: boolean;
}

/** A running watch. */
export interface WatchHandle {
  close(): void;
}

/** Receives one answer. */
export type ResultCallback<T> = (result: Result<T, HallholdError>) => void;

/** Calls on the store. Each answers once; a lost answer is error 1201 after a time-out. */
export interface StorePort {
  /** All tables, complete through one revision. */
  list(callback: ResultCallback<TableDelta>): void;
  /** Changes after a revision, in order; `ended` is called once when the watch breaks. */
  watch(
    fromRevision: number,
    onChange: (delta: TableDelta) => void,
    onEnd: (error: HallholdError) => void,
  ): WatchHandle;
  /** One table; undefined when the service has none. */
  read(service: string, callback: ResultCallback<StoredTable | undefined>): void;
  /**
   * Writes a table if its revision is still `expectedRevision` (0: it must not exist).
   * Answers the new revision, or error 1202 on a conflict.
   */
  write(write: TableWrite, expectedRevision: number, callback: ResultCallback<number>): void;
  /** The machine list. */
  listMachines(callback: ResultCallback<readonly MachineRecord[]>): void;
}

/** Write ids that a stored table keeps, so that a writer can recognise its own write later. */
export const MAXIMUM_RECENT_WRITE_IDS = 16;
