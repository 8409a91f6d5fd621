/**
 * Which priority's turn it is where requests of several wait: the most urgent one's, but for a share
 * of the turns that each lower priority keeps, so that none waits for ever behind a more urgent one
 * that always has work.
 */

/** Credit of a whole turn: shares are in hundredths, and whole numbers add up exactly. */
const WHOLE_TURN = 100;

/** The shares of the priorities of one queue. */
export class LaneShares {
  /** Hundredths of a turn that each lower priority has coming, while it waits. */
  private readonly credits = new Map<number, number>();

  /** @param sharePercent turns in a hundred that each lower priority keeps */
  constructor(private readonly sharePercent: number) {}

  /**
   * The priority whose turn it is.
   * @param waiting priorities of which requests wait, the most urgent first; at least one
   */
  takeTurn(waiting: readonly number[]): number {
    const [first, ...lower] = waiting;
    this.forgetOthers(lower);
    for (const priority of lower) {
      this.credits.set(priority, this.creditOf(priority) + this.sharePercent);
    }
    const owed = lower.find((priority) => this.creditOf(priority) >= WHOLE_TURN);
    if (owed === undefined) {
      return first!;
    }
    this.credits.set(owed, this.creditOf(owed) - WHOLE_TURN);
    return owed;
  }

  private creditOf(priority: number): number {
    return this.credits.get(priority) ?? 0;
  }

  /** A priority that does not wait behind another saves nothing up. */
  private forgetOthers(lower: readonly number[]): void {
    for (const priority of this.credits.keys()) {
      if (!lower.includes(priority)) {
        this.credits.delete(priority);
      }
    }
  }
}
