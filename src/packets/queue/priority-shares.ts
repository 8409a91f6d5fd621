/**
 * Which priority's turn it is where requests of several wait: the most urgent one's, but for a share
 * of the turns that each lower priority keeps, so that none waits for ever behind a more urgent one
 * that always has work.
 */

/** Credit of a whole turn: shares are in hundredths, and whole numbers add up exactly. */
const CREDITS_PER_TURN = 100;

/** The shares of the priorities of one queue. */
export class PriorityShares {
  /** Hundredths of a turn that each lower priority has coming, while it waits. */
  private readonly credits = new Map<number, number>();

  /** @param sharePercent turns in a hundred that each lower priority keeps */
  constructor(private readonly sharePercent: number) {}

  /**
   * The priority whose turn it is.
   * @param waiting priorities of which requests wait, the most urgent first; at least one
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

  /** A priority that does not wait behind another saves nothing up. */
  private resetIdleCredits(lower: readonly number[]): void {
    for (const priority of this.credits.keys()) {
      if (!lower.includes(priority)) {
        this.credits.delete(priority);
      }
    }
  }
}
