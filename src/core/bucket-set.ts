/** A set of bucket numbers, stored and sent as a bitmap of 32 bytes. */
import { BUCKET_COUNT } from './hashing';

const BITS_PER_BYTE = 8;

/** Bytes of an encoded bucket set. */
export const BUCKET_SET_BYTES = BUCKET_COUNT / BITS_PER_BYTE;

/** Mutable set of buckets 0 to 255. */
export class BucketSet {
  private constructor(private readonly bits: Uint8Array) {}

  static createEmpty(): BucketSet {
    return new BucketSet(new Uint8Array(BUCKET_SET_BYTES));
  }

  /** Copies a received bitmap; its length must be {@link BUCKET_SET_BYTES}. */
  static decode(bytes: Uint8Array): BucketSet {
    return new BucketSet(Uint8Array.from(bytes));
  }

  encode(): Buffer {
    return Buffer.from(this.bits);
  }

  has(bucket: number): boolean {
    return (this.bits[bucket >> 3]! & (1 << (bucket & 7))) !== 0;
  }

  add(bucket: number): void {
    this.bits[bucket >> 3]! |= 1 << (bucket & 7);
  }

  remove(bucket: number): void {
    this.bits[bucket >> 3]! &= ~(1 << (bucket & 7));
  }

  /** The buckets in ascending order. */
  listBuckets(): number[] {
    const buckets: number[] = [];
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
      if (this.has(bucket)) {
        buckets.push(bucket);
      }
    }
    return buckets;
  }
}
