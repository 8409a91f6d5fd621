/**
 * The tables known to one node, and the revision through which they are complete.
 *
 * Pure state: a table is replaced only by one of a higher revision, so a delayed or duplicate
 * delta never reverts an accepted table.
 */
import { hashText } from './hashing';
import type { ServiceTable } from './table';

/** Tables changed after `fromRevision`, complete through `throughRevision`. */
export interface TableDelta {
  readonly fromRevision: number;
  readonly throughRevision: number;
  readonly tables: readonly ServiceTable[];
}

/** Result of applying a delta. */
export interface AppliedDelta {
  /** Tables that became active. */
  readonly changed: readonly ServiceTable[];
  /** Whether the delta starts beyond the complete revision, so that earlier changes are missing. */
  readonly hasGap: boolean;
}

const DIGEST_RANGE = 2 ** 32;

/** Deltas recorded that arrived before their predecessors. */
const MAXIMUM_OUT_OF_ORDER_DELTAS = 256;

/** A range of revisions whose tables are known. */
interface RevisionRange {
  readonly fromRevision: number;
  readonly throughRevision: number;
}

/** Revision-ordered tables of all services. */
export class TableCache {
  private readonly tables = new Map<string, ServiceTable>();
  private completeThrough = 0;
  private digest: number | undefined;
  /** Ranges known beyond a gap: the parts of one transfer may be reordered in transit. */
  private outOfOrder: RevisionRange[] = [];

  /** The revision through which no table is missing; 0 before the first full delta. */
  get revision(): number {
    return this.completeThrough;
  }

  /** The active table of a service. */
  get(service: string): ServiceTable | undefined {
    return this.tables.get(service);
  }

  /**
   * Digest of the tables beyond {@link revision}, such as one just accepted while the store cannot
   * provide the earlier ones; 0 without any. Two nodes with the same revision and different
   * digests have tables to exchange.
   */
  get aheadDigest(): number {
    this.digest ??= this.computeDigest();
    return this.digest;
  }

  /** All active tables. */
  listTables(): Iterable<ServiceTable> {
    return this.tables.values();
  }

  /** Applies the newer tables of a delta; advances the revision only without a gap. */
  apply(delta: TableDelta): AppliedDelta {
    const changed = delta.tables.filter((table) => this.applyTable(table));
    this.digest = undefined;
    const hasGap = delta.fromRevision > this.completeThrough;
    if (hasGap) {
      const { fromRevision, throughRevision } = delta;
      this.outOfOrder = [...this.outOfOrder, { fromRevision, throughRevision }].slice(
        -MAXIMUM_OUT_OF_ORDER_DELTAS,
      );
    } else {
      this.advanceTo(delta.throughRevision);
    }
    return { changed, hasGap };
  }

  /** All tables that a node complete through `revision` lacks. */
  createDelta(revision: number): TableDelta {
    const tables = [...this.tables.values()].filter((table) => table.revision > revision);
    return { fromRevision: revision, throughRevision: this.completeThrough, tables };
  }

  /** Advances the complete revision, also over recorded ranges that are now contiguous. */
  private advanceTo(revision: number): void {
    this.completeThrough = Math.max(this.completeThrough, revision);
    const reached = this.outOfOrder.filter((one) => one.fromRevision <= this.completeThrough);
    if (reached.length > 0) {
      this.outOfOrder = this.outOfOrder.filter((one) => one.fromRevision > this.completeThrough);
      this.advanceTo(Math.max(...reached.map((one) => one.throughRevision)));
    }
  }

  private computeDigest(): number {
    const ahead = [...this.tables.values()].filter(
      (table) => table.revision > this.completeThrough,
    );
    const hashes = ahead.map(({ service, revision }) => hashText(`${service}/${revision}`));
    return hashes.reduce((sum, hash) => (sum + hash) % DIGEST_RANGE, 0);
  }

  private applyTable(table: ServiceTable): boolean {
    const known = this.tables.get(table.service);
    if (known && known.revision >= table.revision) {
      return false;
    }
    this.tables.set(table.service, table);
    return true;
  }
}
