/**
 * Limits retransmissions to a fraction of the traffic, so that they add little to congestion: a
 * token bucket, one token per retransmission (the retry budget of RPC systems; B. Beyer et al.,
 * "Site Reliability Engineering", chapter 21, 2016).
 */

/**
 * Tokens added per message sent for the first time: retransmissions stay below a tenth of the
 * traffic. Links that lose 1 % of datagrams each way need a fiftieth.
 */
const TOKENS_PER_MESSAGE = 0.1;
/**
 * Tokens added per second, for a node that sends little: 10 frames of 1,300 bytes are 104 kbit/s,
 * a seventieth of a link of 7 Mbit/s.
 */
const TOKENS_PER_SECOND = 10;
/** Burst size: as many retransmissions occupy a link of 7 Mbit/s for 30 ms. */
const MAXIMUM_TOKENS = 20;
const MS_PER_SECOND = 1_000;

/** Retransmission budget of one node. */
export class RepairBudget {
  private tokens = MAXIMUM_TOKENS;
  private refilledAt: number | undefined;

  /** Records a message that is sent for the first time. */
  recordMessage(): void {
    this.addTokens(TOKENS_PER_MESSAGE);
  }

  /**
   * Takes the token for one retransmission.
   * @returns whether the retransmission may be sent
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
