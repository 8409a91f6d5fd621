/**
 * The sum by which an end sees that a packet is as its sender wrote it. As on the platform it
 * covers everything but the echo field and the bounce flag, which the system may write.
 */
import { createHash } from 'node:crypto';
import { Flag, HEADER_BYTES } from '../support/packet-cluster';

const ECHO = 14;
const SUM = 18;
const SUM_END = 22;
const FLAGS = 30;

function sumOf(bytes: Buffer): number {
  const summed = Buffer.from(bytes).fill(0, ECHO, SUM_END);
  return createHash('md5').update(summed).digest().readUInt32BE();
}

/** Writes the sum; to be called once, by the sender. */
export function seal(bytes: Buffer): Buffer {
  bytes.writeUInt32BE(sumOf(bytes), SUM);
  return bytes;
}

/** Whether a packet that reached its target is as the client wrote it. */
export function isClientsOwn(bytes: Buffer): boolean {
  return bytes.readUInt32BE(SUM) === sumOf(bytes);
}

/** Whether a packet that reached its client is as the target wrote it, or a reset of the system. */
export function isTargetsOwn(bytes: Buffer): boolean {
  const isReset = bytes.length === HEADER_BYTES && bytes[FLAGS] === Flag.rst;
  const isSystemReset = isReset && bytes.readUInt32BE(SUM) === 0;
  return bytes.readUInt32BE(ECHO) === 0 && (isSystemReset || isClientsOwn(bytes));
}
