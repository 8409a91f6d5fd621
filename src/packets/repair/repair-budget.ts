/**
 * Bounds repeats by what is sent anyway, so that they never add much to congestion: a bucket of
 * tokens, one a repeat (the retry budget of RPC systems; B. Beyer et al., "Site Reliability
 * Engineering", chapter 21, 2016).
 */

/**
 * Tokens that a message earns when it is sent first: repeats stay below a tenth of what is sent.
 * Links that lose one datagram in a hundred each way ask for a fiftieth.
 */
const TOKENS_PER_MESSAGE = 0.1;
/**
 * Tokens earned a second by time, for a node that sends little: 10 frames of 1,300 bytes are
 * 104 kbit/s, a seventieth of a link of 7 Mbit/s.
 */
const TOKENS_PER_SECOND = 10;
/** Tokens kept at most: as many repeats fill a link of 7 Mbit/s for 30 ms. */
const MAXIMUM_TOKENS = 20;
const MS_PER_SECOND = 1_000;

/** The budget of one node. */
export class RepairBudget {
  private tokens = MAXIMUM_TOKENS;
  private refilledAt: number | undefined;

  /** A message is sent for the first time. */
  recordMessage(): void {
    this.addTokens(TOKENS_PER_MESSAGE);
  }

  /**
   * Takes what one repeat costs.
   * @returns whether the repeat may be sent
   */
  takeToken(now: number): boolean {
    this.addTokens(((now - (this.refilledAt ?? now)) / MS_PER_SECOND) * TOKENS_PER_SECOND);
    this.refilledAt = now;
    if (this.tokens < 1) {
      return false;
    }
    this.tokens--;
    return true;
  }

  private addTokens(tokens: number): void {
    this.tokens = Math.min(MAXIMUM_TOKENS, this.tokens + tokens);
  }
}
