/**
 * Schedules priorities that have waiting requests: the most urgent one first, except for a
 * guaranteed share of the turns for each lower one, so that none starves behind a more urgent one
 * that always has work.
 */

/** Credit that one turn costs: shares are in percent, and integers add up exactly. */
const CREDITS_PER_TURN = 100;

/** Scheduler of the priorities of one queue. */
export class PriorityShares {
  /** Credit of each lower priority while it waits, in hundredths of a turn. */
  private readonly credits = new Map<number, number>();

  /** @param sharePercent percentage of turns guaranteed to each lower priority */
  constructor(private readonly sharePercent: number) {}

  /**
   * Selects the priority to serve next.
   * @param waiting priorities with waiting requests, the most urgent first; at least one
   */
  selectPriority(waiting: readonly number[]): number {
    const [first, ...lower] = waiting;
    this.resetIdleCredits(lower);
    for (const priority of lower) {
      this.credits.set(priority, this.getCredit(priority) + this.sharePercent);
    }
    const owed = lower.find((priority) => this.getCredit(priority) >= CREDITS_PER_TURN);
    if (owed === undefined) {
      return first!;
    }
    this.credits.set(owed, this.getCredit(owed) - CREDITS_PER_TURN);
    return owed;
  }

  private getCredit(priority: number): number {
    return this.credits.get(priority) ?? 0;
  }

  /** Resets the credit of priorities that do not wait behind another one. */
  private resetIdleCredits(lower: readonly number[]): void {
    for (const priority of this.credits.keys()) {
      if (!lower.includes(priority)) {
        this.credits.delete(priority);
      }
    }
  }
}
