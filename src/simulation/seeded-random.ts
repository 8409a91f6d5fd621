/** Seeded random numbers from pure-rand; a seed gives the same sequence on every platform. */
import { xoroshiro128plus, type RandomGenerator } from 'pure-rand';

const UNSIGNED_RANGE = 2 ** 32;

/** One stream of random numbers. */
export class SeededRandom {
  private readonly generator: RandomGenerator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Uniform in [0, 1). */
  next(): number {
    return (this.generator.unsafeNext() >>> 0) / UNSIGNED_RANGE;
  }

  /** Uniform in [low, high). */
  between(low: number, high: number): number {
    return low + this.next() * (high - low);
  }

  /** Exponentially distributed with the given mean. */
  exponential(mean: number): number {
    return -Math.log(1 - this.next()) * mean;
  }

  /** Picks one item uniformly; `items` must not be empty. */
  pick<T>(items: readonly T[]): T {
    return items[Math.floor(this.next() * items.length)]!;
  }
}
