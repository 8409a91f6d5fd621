/**
 * HMAC-SHA256 (RFC 2104) of frames, cut to 16 bytes.
 *
 * Made of two one-shot hashes of Node's crypto instead of `createHmac`, whose object
 * costs more than the hashing itself for frames of this size (docs/DESIGN.md has the
 * figures). A test holds it against `createHmac`.
 */
import { hash, timingSafeEqual } from 'node:crypto';

const ALGORITHM = 'sha256';
const BLOCK_BYTES = 64;
const DIGEST_BYTES = 32;
const INNER_PAD = 0x36;
const OUTER_PAD = 0x5c;
const LARGEST_FRAME = 65_536;

/** Bytes of a tag. */
export const TAG_BYTES = 16;

/** Computes and checks tags under one key. */
export class FrameAuthenticator {
  /** The inner pad, followed by room for the message. */
  private readonly inner = Buffer.alloc(BLOCK_BYTES + LARGEST_FRAME);
  /** The outer pad, followed by room for the inner digest. */
  private readonly outer = Buffer.alloc(BLOCK_BYTES + DIGEST_BYTES);
  private readonly expected = Buffer.alloc(TAG_BYTES);

  /** @param secret of any length; one longer than a block is hashed first */
  constructor(secret: Buffer) {
    const key = secret.length > BLOCK_BYTES ? hash(ALGORITHM, secret, 'buffer') : secret;
    this.inner.fill(INNER_PAD, 0, BLOCK_BYTES);
    this.outer.fill(OUTER_PAD, 0, BLOCK_BYTES);
    key.forEach((byte, index) => {
      this.inner[index]! ^= byte;
      this.outer[index]! ^= byte;
    });
  }

  /** Writes the tag of `body` into `target` at `offset`. */
  writeTag(body: Uint8Array, target: Buffer, offset: number): void {
    this.inner.set(body, BLOCK_BYTES);
    const message = this.inner.subarray(0, BLOCK_BYTES + body.length);
    this.outer.write(hash(ALGORITHM, message, 'binary'), BLOCK_BYTES, DIGEST_BYTES, 'latin1');
    target.write(hash(ALGORITHM, this.outer, 'binary'), offset, TAG_BYTES, 'latin1');
  }

  /** Whether `tag` is that of `body`. */
  accepts(body: Uint8Array, tag: Buffer): boolean {
    this.writeTag(body, this.expected, 0);
    return timingSafeEqual(this.expected, tag);
  }
}
