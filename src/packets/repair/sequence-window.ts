/**
 * Sequence numbers received in one session: the highest, and a bitmap of those just below it (the
 * anti-replay window of RFC 4303, section 3.4.3).
 */
import { computeDistance } from './sequence-numbers';

/**
 * Sequence numbers tracked below the highest. A retransmission follows at most 150 ms after the
 * message (`hop-sender.ts`); only a balancer that sends one agent 6,800 messages a second, more
 * than one processor can, gets that far ahead in this time.
 */
export const WINDOW_SIZE = 1_024;
const WORD_BITS = 32;
const WORD_COUNT = WINDOW_SIZE / WORD_BITS;

/** Sliding window of one session. */
export class SequenceWindow {
  private readonly words = new Uint32Array(WORD_COUNT);
  private highest: number | undefined;

  /**
   * Records a sequence number.
   * @param sequence 32 bits, wrapping
   * @returns whether it is new; false also for one below the window, where that is unknown
   */
  add(sequence: number): boolean {
    if (this.highest === undefined) {
      this.highest = sequence;
      this.mark(sequence);
      return true;
    }
    const distance = computeDistance(this.highest, sequence);
    if (distance > 0) {
      this.clearSkipped(this.highest, distance);
      this.highest = sequence;
      this.mark(sequence);
      return true;
    }
    if (distance <= -WINDOW_SIZE || this.isMarked(sequence)) {
      return false;
    }
    this.mark(sequence);
    return true;
  }

  /** Clears the bits that the numbers after `highest` reuse. */
  private clearSkipped(highest: number, distance: number): void {
    if (distance >= WINDOW_SIZE) {
      this.words.fill(0);
      return;
    }
    for (let step = 1; step <= distance; step++) {
      const bit = getBitMask(highest + step);
      this.words[getWordIndex(highest + step)]! &= ~bit;
    }
  }

  private mark(sequence: number): void {
    this.words[getWordIndex(sequence)]! |= getBitMask(sequence);
  }

  private isMarked(sequence: number): boolean {
    return (this.words[getWordIndex(sequence)]! & getBitMask(sequence)) !== 0;
  }
}

/** The window size divides 2^32, so the index stays consistent when sequence numbers wrap. */
function getWordIndex(sequence: number): number {
  return Math.floor((sequence % WINDOW_SIZE) / WORD_BITS);
}

function getBitMask(sequence: number): number {
  return 1 << (sequence % WORD_BITS);
}
