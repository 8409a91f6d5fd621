/**
 * Outcomes of the used permits that this agent incarnation issued.
 *
 * An entry is recorded before the request is forwarded to the back end. The answer is retained
 * until the permit expires; the use itself is retained much longer, so that an expired permit can
 * reliably be reported as never used.
 */

/** Outcome of a used permit. `Answer` is the final answer, sent again to retransmitted requests. */
export type LedgerEntry<Answer> =
  /** Forwarded to a back end, no answer yet. */
  | { readonly outcome: 'running' }
  | { readonly outcome: 'answered'; readonly answer: Answer }
  /** Permanently refused: no copy of the request may run any more. */
  | { readonly outcome: 'burnt'; readonly answer: Answer }
  /** Used, but its answer is no longer retained. */
  | { readonly outcome: 'used' };

/** Time after expiry for which a permit's use is retained. */
export const USE_RETENTION_MS = 3_600_000;

/** An entry as stored and as exported in a handover. */
export interface StoredEntry<Answer> {
  readonly serial: number;
  entry: LedgerEntry<Answer>;
  readonly expiresAt: number;
}

/** The ledger of one agent incarnation. */
export class PermitLedger<Answer> {
  private readonly entries = new Map<number, StoredEntry<Answer>>();

  get size(): number {
    return this.entries.size;
  }

  find(serial: number): LedgerEntry<Answer> | undefined {
    return this.entries.get(serial)?.entry;
  }

  /** Records or replaces the outcome of a permit. */
  record(serial: number, expiresAt: number, entry: LedgerEntry<Answer>): void {
    this.entries.set(serial, { serial, entry, expiresAt });
  }

  /** All entries, for a handover. */
  listEntries(): StoredEntry<Answer>[] {
    return [...this.entries.values()];
  }

  remove(serial: number): void {
    this.entries.delete(serial);
  }

  /** Whether an expired permit was certainly never used: its use would still be retained. */
  wasNeverUsed(serial: number, expiresAt: number, now: number): boolean {
    return !this.entries.has(serial) && now - expiresAt < USE_RETENTION_MS;
  }

  /** Drops the answers of expired permits, and their entries after {@link USE_RETENTION_MS}. */
  removeExpired(now: number): void {
    for (const [serial, stored] of this.entries) {
      if (now - stored.expiresAt >= USE_RETENTION_MS) {
        this.entries.delete(serial);
      } else if (stored.expiresAt <= now && stored.entry.outcome !== 'running') {
        stored.entry = { outcome: 'used' };
      }
    }
  }
}
