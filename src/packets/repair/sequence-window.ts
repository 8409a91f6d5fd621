/**
 * Which numbers of one session have come: the highest, and a bit for each of those shortly below
 * it (the anti-replay window of RFC 4303, section 3.4.3).
 */
import { computeDistance } from './sequence-numbers';

/**
 * Numbers that are told apart below the highest. A repeat comes at most 150 ms after the message
 * itself (`hop-sender.ts`); a balancer that sends one agent 6,800 messages a second, more than a
 * processor can, gets that far ahead meanwhile.
 */
export const WINDOW_SIZE = 1_024;
const WORD_BITS = 32;
const WORD_COUNT = WINDOW_SIZE / WORD_BITS;

/** The window of one session. */
export class SequenceWindow {
  private readonly words = new Uint32Array(WORD_COUNT);
  private highest: number | undefined;

  /**
   * Notes a number.
   * @param sequence 32 bits, wrapping
   * @returns whether it comes for the first time; false for one so old that nothing tells
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

  /** Clears the bits that numbers after `highest` take over. */
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

/** The window's length divides 2^32, so a number keeps its place when the numbers wrap. */
function getWordIndex(sequence: number): number {
  return Math.floor((sequence % WINDOW_SIZE) / WORD_BITS);
}

function getBitMask(sequence: number): number {
  return 1 << (sequence % WORD_BITS);
}
