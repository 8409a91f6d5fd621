/** The packets of clients and targets, with a keyed sum of the stand-ins' own. */
import { Buffer } from 'node:buffer';
import { createHash } from 'node:crypto';

export const HEAD_BYTES = 31;
export const MAXIMUM_DATA_BYTES = 1200;
export const Flag = { fin: 1, rst: 4, bounced: 8, syn: 16, ack: 128 };
const SUM_KEY = 'key of the stand-ins';

/** Sum over everything except `echo`, `sum` itself and BOUNCED; never 0. */
function computeSum(bytes) {
  const summed = Buffer.from(bytes);
  summed.fill(0, 14, 22);
  summed[30] &= ~Flag.bounced;
  return createHash('md5').update(SUM_KEY).update(summed).digest().readUInt32BE() || 1;
}

/** Encodes a packet; `source` and `destination` are `{ address, port }`. */
export function encode({ source, destination, flags, seq, ack, data = Buffer.alloc(0) }) {
  const bytes = Buffer.alloc(HEAD_BYTES + data.length);
  const write = (offset, { address, port }) => {
    bytes.writeUInt16BE(port, offset);
    Buffer.from(address.split('.').map(Number)).copy(bytes, offset + 2);
  };
  write(0, source);
  write(6, destination);
  bytes.writeUInt16BE(data.length, 12);
  bytes.writeUInt32BE(seq >>> 0, 22);
  bytes.writeUInt32BE(ack >>> 0, 26);
  bytes[30] = flags;
  data.copy(bytes, HEAD_BYTES);
  bytes.writeUInt32BE(computeSum(bytes), 18);
  return bytes;
}

/** Decodes a packet; `isIntact` tells whether it has the form that its sender wrote. */
export function decode(bytes) {
  const read = (offset) => ({
    port: bytes.readUInt16BE(offset),
    address: bytes.subarray(offset + 2, offset + 6).join('.'),
  });
  const flags = bytes[30];
  const sum = bytes.readUInt32BE(18);
  return {
    source: read(0),
    destination: read(6),
    flags,
    seq: bytes.readUInt32BE(22),
    ack: bytes.readUInt32BE(26),
    data: bytes.subarray(HEAD_BYTES),
    sum,
    isIntact: sum === computeSum(bytes),
    /** A reset of the system has no data and the sum 0. */
    isSystemReset: (flags & Flag.rst) !== 0 && sum === 0 && bytes.length === HEAD_BYTES,
  };
}

/** Distance from one 32-bit sequence number to another. */
export function distance(from, to) {
  return (to - from) | 0;
}
