/**
 * A token bucket for repeats: no more than a share of what is sent, and a small burst.
 *
 * Losses are rare; when much stays unacknowledged, a link is full or cut, and more packets
 * would only make it worse. Pure: what is sent fills the bucket, not time.
 */

/** How much may be repeated. */
export interface RepairBudgetLimits {
  /** Repeats for each packet sent. */
  readonly share: number;
  /** Repeats at once beyond that; the bucket begins full. */
  readonly burst: number;
}

/** The repeats that one node may still send. */
export class RepairBudget {
  private tokens: number;

  constructor(private readonly limits: RepairBudgetLimits) {
    this.tokens = limits.burst;
  }

  /** A packet has been sent for the first time. */
  noteSent(): void {
    const { share, burst } = this.limits;
    this.tokens = Math.min(burst, this.tokens + share);
  }

  /** Takes one repeat out; false when there is none left. */
  take(): boolean {
    if (this.tokens < 1) {
      return false;
    }
    this.tokens--;
    return true;
  }
}
