/**
 * HMAC-SHA256 (RFC 2104) of frames, truncated to 16 bytes.
 *
 * Uses two one-shot hashes of Node's crypto instead of `createHmac`, whose object costs
 * more than the hashing itself for frames of this size (measurements in docs/DESIGN.md).
 * A test compares it with `createHmac`.
 */
import { hash, timingSafeEqual } from 'node:crypto';

const ALGORITHM = 'sha256';
const BLOCK_BYTES = 64;
const DIGEST_BYTES = 32;
const INNER_PAD = 0x36;
const OUTER_PAD = 0x5c;
const MAXIMUM_FRAME_BYTES = 65_536;

/** Length of a tag in bytes. */
export const TAG_BYTES = 16;

/** Computes and verifies tags under one key. */
export class FrameAuthenticator {
  /** The key XORed with the inner pad, followed by space for the message. */
  private readonly innerBlock = Buffer.alloc(BLOCK_BYTES + MAXIMUM_FRAME_BYTES);
  /** The key XORed with the outer pad, followed by space for the inner digest. */
  private readonly outerBlock = Buffer.alloc(BLOCK_BYTES + DIGEST_BYTES);
  private readonly expectedTag = Buffer.alloc(TAG_BYTES);

  /** @param secret of any length; a secret longer than a block is hashed first */
  constructor(secret: Buffer) {
    const key = secret.length > BLOCK_BYTES ? hash(ALGORITHM, secret, 'buffer') : secret;
    this.innerBlock.fill(INNER_PAD, 0, BLOCK_BYTES);
    this.outerBlock.fill(OUTER_PAD, 0, BLOCK_BYTES);
    key.forEach((byte, index) => {
      this.innerBlock[index]! ^= byte;
      this.outerBlock[index]! ^= byte;
    });
  }

  /** Writes the tag of `body` into `target` at `offset`. */
  writeTag(body: Uint8Array, target: Buffer, offset: number): void {
    this.innerBlock.set(body, BLOCK_BYTES);
    const message = this.innerBlock.subarray(0, BLOCK_BYTES + body.length);
    this.outerBlock.write(hash(ALGORITHM, message, 'binary'), BLOCK_BYTES, DIGEST_BYTES, 'latin1');
    target.write(hash(ALGORITHM, this.outerBlock, 'binary'), offset, TAG_BYTES, 'latin1');
  }

  /** Whether `tag` is the tag of `body`, compared in constant time. */
  verifyTag(body: Uint8Array, tag: Buffer): boolean {
    this.writeTag(body, this.expectedTag, 0);
    return timingSafeEqual(this.expectedTag, tag);
  }
}
