/**
 * Checksum by which the receiver detects altered packets. As on the platform it covers
 * everything but the echo field and the bounce flag, which the load balancer may write.
 */
import { createHash } from 'node:crypto';
import { Flag, HEADER_BYTES } from '../support/packet-cluster';

const ECHO_OFFSET = 14;
const CHECKSUM_OFFSET = 18;
const CHECKSUM_END = 22;
const FLAGS_OFFSET = 30;

function computeChecksum(bytes: Buffer): number {
  const summed = Buffer.from(bytes).fill(0, ECHO_OFFSET, CHECKSUM_END);
  return createHash('md5').update(summed).digest().readUInt32BE();
}

/** Writes the checksum; called once, by the sender. */
export function writeChecksum(bytes: Buffer): Buffer {
  bytes.writeUInt32BE(computeChecksum(bytes), CHECKSUM_OFFSET);
  return bytes;
}

/** Whether a packet reached its target as the client sent it. */
export function isUnalteredFromClient(bytes: Buffer): boolean {
  return bytes.readUInt32BE(CHECKSUM_OFFSET) === computeChecksum(bytes);
}

/** Whether a packet reached its client as the target sent it, or is a reset by the load balancer. */
export function isUnalteredFromTarget(bytes: Buffer): boolean {
  const isReset = bytes.length === HEADER_BYTES && bytes[FLAGS_OFFSET] === Flag.rst;
  const isSystemReset = isReset && bytes.readUInt32BE(CHECKSUM_OFFSET) === 0;
  return bytes.readUInt32BE(ECHO_OFFSET) === 0 && (isSystemReset || isUnalteredFromClient(bytes));
}
