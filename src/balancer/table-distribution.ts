/**
 * Distributes tables to all balancers: a new table is pushed at once to a few members,
 * which push it to others in turn. A balancer that was missed sees a higher revision in
 * the next probe and requests the tables it lacks.
 */
import { TableCache, type TableDelta } from '../core/table-cache';
import type { ServiceTable } from '../core/table';
import { TABLE_PUSH_FANOUT } from '../core/timing';
import type { Endpoint } from '../environment';
import { Events } from '../logging/events';
import {
  MessageType,
  type MemberRecord,
  type TableConfirmMessage,
  type TableDeltaMessage,
  type TableRequestMessage,
} from '../wire/messages';
import type { BalancerContext } from './balancer-context';

const MINIMUM_REQUEST_INTERVAL_MS = 300;
/** Rows per datagram, which keeps a delta well below 64 KiB. */
const MAXIMUM_ROWS_PER_PART = 250;
const CONFIRM_RETRY_INTERVAL_MS = 400;
const MAXIMUM_CONFIRM_ATTEMPTS = 5;

/** Dependencies of the distribution. */
export interface TableDistributionDependencies {
  sampleMembers(count: number): MemberRecord[];
  listActiveMembers(): MemberRecord[];
  /** Receives the tables that have become active here. */
  handleChangedTables(tables: readonly ServiceTable[]): void;
}

interface PendingReplication {
  readonly delta: TableDelta;
  readonly requiredCopies: number;
  readonly confirmed: Set<string>;
  readonly onDone: (confirmed: number) => void;
  attempts: number;
}

/** Distributes tables among balancers. */
export class TableDistribution {
  readonly cache = new TableCache();
  private readonly pendingReplications = new Map<number, PendingReplication>();
  private lastRequestAt = -Infinity;
  private nextConfirmId = 1;
  /** True once a peer or the store has shown that no newer table is missing. */
  private caughtUp = false;

  constructor(
    private readonly context: BalancerContext,
    private readonly dependencies: TableDistributionDependencies,
  ) {}

  /** True when this balancer has tables and has been complete compared with a peer or the store. */
  get isCaughtUp(): boolean {
    return this.caughtUp && this.cache.revision > 0;
  }

  /** Applies a delta from the store, a push or an accepted edit, and pushes it to peers if new. */
  applyAndPush(delta: TableDelta, from: Endpoint | undefined): void {
    if (this.apply(delta, from)) {
      this.pushToSample(delta);
    }
  }

  /** Applies a delta that the peers already have, without pushing it. */
  applyWithoutPush(delta: TableDelta): void {
    const { changed, hasGap } = this.cache.apply(delta);
    this.caughtUp = this.caughtUp || !hasGap;
    this.dependencies.handleChangedTables(changed);
  }

  /**
   * A peer has all tables through `revision`; `aheadDigest` covers those it has after that.
   * Requests tables from it if it may have some that this balancer lacks.
   */
  handlePeerRevision(revision: number, aheadDigest: number, from: Endpoint): void {
    const hasOtherTables = aheadDigest !== 0 && aheadDigest !== this.cache.aheadDigest;
    if (revision > this.cache.revision || hasOtherTables) {
      this.requestTables(from);
    }
    if (revision <= this.cache.revision && this.cache.revision > 0) {
      this.caughtUp = true;
    }
  }

  handleRequest(message: TableRequestMessage, from: Endpoint): void {
    const delta = this.cache.createDelta(message.haveThrough);
    for (const part of splitDelta(delta)) {
      this.context.send(from, { type: MessageType.tableDelta, ...part, pushed: 0, confirmId: 0 });
    }
  }

  handleDelta(message: TableDeltaMessage, from: Endpoint): void {
    if (message.pushed === 1) {
      this.applyAndPush(message, from);
    } else {
      this.apply(message, from);
    }
    if (message.confirmId !== 0) {
      this.context.send(from, {
        type: MessageType.tableConfirm,
        confirmId: message.confirmId,
        name: this.context.settings.name,
      });
    }
  }

  handleConfirm(message: TableConfirmMessage): void {
    const pending = this.pendingReplications.get(message.confirmId);
    if (!pending) {
      return;
    }
    pending.confirmed.add(message.name);
    if (pending.confirmed.size >= pending.requiredCopies) {
      this.finishReplication(message.confirmId, pending);
    }
  }

  /** Replicates a table to peers, other zones first; `onDone` gets the number confirmed. */
  replicateTable(table: ServiceTable, copies: number, onDone: (confirmed: number) => void): void {
    const { revision } = table;
    const delta = { fromRevision: revision, throughRevision: revision, tables: [table] };
    const requiredCopies = Math.min(copies, this.dependencies.listActiveMembers().length);
    const pending = { delta, requiredCopies, confirmed: new Set<string>(), onDone, attempts: 0 };
    const id = this.nextConfirmId++;
    this.pendingReplications.set(id, pending);
    this.pushUntilConfirmed(id, pending);
  }

  /** Applies a delta; returns true when it changed a table. */
  private apply(delta: TableDelta, from: Endpoint | undefined): boolean {
    const { changed, hasGap } = this.cache.apply(delta);
    if (!hasGap) {
      this.caughtUp = true;
    } else if (from !== undefined) {
      this.requestTables(from);
    }
    if (changed.length === 0) {
      return false;
    }
    for (const { service, revision } of changed) {
      this.context.environment.report(Events.tableApplied, { service, revision });
    }
    this.dependencies.handleChangedTables(changed);
    return true;
  }

  private pushUntilConfirmed(id: number, pending: PendingReplication): void {
    if (!this.pendingReplications.has(id)) {
      return;
    }
    if (pending.requiredCopies === 0 || pending.attempts >= MAXIMUM_CONFIRM_ATTEMPTS) {
      this.finishReplication(id, pending);
      return;
    }
    pending.attempts++;
    for (const member of this.selectReplicas(pending)) {
      this.pushTo(member.endpoint, pending.delta, id);
    }
    this.context.environment.startTimer(CONFIRM_RETRY_INTERVAL_MS, () =>
      this.pushUntilConfirmed(id, pending),
    );
  }

  private selectReplicas(pending: PendingReplication): MemberRecord[] {
    const { random } = this.context.environment;
    const candidates = this.dependencies
      .listActiveMembers()
      .filter((member) => !pending.confirmed.has(member.name))
      .map((member) => ({ member, order: random.call(this.context.environment) }));
    const rankZone = (member: MemberRecord): number =>
      member.zone === this.context.settings.zone ? 1 : 0;
    candidates.sort((a, b) => rankZone(a.member) - rankZone(b.member) || a.order - b.order);
    return candidates.slice(0, pending.requiredCopies + 1).map(({ member }) => member);
  }

  private finishReplication(id: number, pending: PendingReplication): void {
    this.pendingReplications.delete(id);
    pending.onDone(pending.confirmed.size);
  }

  /** Pushes a delta to random peers, unless it exceeds one datagram: peers request it in parts. */
  private pushToSample(delta: TableDelta): void {
    if (splitDelta(delta).length > 1) {
      return;
    }
    for (const member of this.dependencies.sampleMembers(TABLE_PUSH_FANOUT)) {
      this.pushTo(member.endpoint, delta, 0);
    }
  }

  private requestTables(from: Endpoint): void {
    const now = this.context.environment.now();
    if (now - this.lastRequestAt < MINIMUM_REQUEST_INTERVAL_MS) {
      return;
    }
    this.lastRequestAt = now;
    this.context.send(from, { type: MessageType.tableRequest, haveThrough: this.cache.revision });
  }

  private pushTo(to: Endpoint, delta: TableDelta, confirmId: number): void {
    this.context.send(to, { type: MessageType.tableDelta, ...delta, pushed: 1, confirmId });
  }
}

/**
 * Splits a delta into datagram-sized parts. Each begins at the revision where the previous
 * one ends, so that a receiver detects a lost part by the gap before the next.
 */
export function splitDelta(delta: TableDelta): TableDelta[] {
  const ordered = [...delta.tables].sort((a, b) => a.revision - b.revision);
  const parts: TableDelta[] = [];
  let fromRevision = delta.fromRevision;
  let tables: ServiceTable[] = [];
  let rows = 0;
  for (const table of ordered) {
    if (rows > 0 && rows + table.rows.length > MAXIMUM_ROWS_PER_PART) {
      const throughRevision = tables[tables.length - 1]!.revision;
      parts.push({ fromRevision, throughRevision, tables });
      fromRevision = throughRevision;
      tables = [];
      rows = 0;
    }
    tables.push(table);
    rows += table.rows.length;
  }
  parts.push({ fromRevision, throughRevision: delta.throughRevision, tables });
  return parts;
}
