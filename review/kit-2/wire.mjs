/* global Buffer */
/** The packets of the platform's page "What hallhold speaks", and their keyed sum. */
import { createHmac } from 'node:crypto';

export const HEAD_BYTES = 31;
export const Flag = { fin: 1, rst: 4, bounced: 8, syn: 16, ack: 128 };
const SUM_KEY = 'known to clients and targets only';
const WORD = 2 ** 32;

export const packAddress = (text) => Buffer.from(text.split('.').map(Number));

function computeSum(bytes) {
  const summed = Buffer.from(bytes);
  summed.fill(0, 14, 22);
  summed[30] &= ~Flag.bounced;
  return createHmac('sha256', SUM_KEY).update(summed).digest().readUInt32BE();
}

/** Encodes a packet; `from` and `to` are `[address, port]`. */
export function encodePacket({ from, to, flags, seq, ack, text = '' }) {
  const data = Buffer.from(text, 'latin1');
  const bytes = Buffer.alloc(HEAD_BYTES + data.length);
  bytes.writeUInt16BE(from[1], 0);
  packAddress(from[0]).copy(bytes, 2);
  bytes.writeUInt16BE(to[1], 6);
  packAddress(to[0]).copy(bytes, 8);
  bytes.writeUInt16BE(data.length, 12);
  bytes.writeUInt32BE(((seq % WORD) + WORD) % WORD, 22);
  bytes.writeUInt32BE(((ack % WORD) + WORD) % WORD, 26);
  bytes[30] = flags;
  data.copy(bytes, HEAD_BYTES);
  bytes.writeUInt32BE(computeSum(bytes), 18);
  return bytes;
}

/** Decodes a packet; undefined for anything else. */
export function decodePacket(bytes) {
  if (bytes.length < HEAD_BYTES || bytes.length !== HEAD_BYTES + bytes.readUInt16BE(12)) {
    return undefined;
  }
  const from = [bytes.subarray(2, 6).join('.'), bytes.readUInt16BE(0)];
  const to = [bytes.subarray(8, 12).join('.'), bytes.readUInt16BE(6)];
  const flags = bytes[30];
  return {
    bytes,
    from,
    to,
    flags,
    opens: (flags & Flag.syn) !== 0,
    ends: (flags & Flag.fin) !== 0,
    resets: (flags & Flag.rst) !== 0,
    seq: bytes.readUInt32BE(22),
    ack: bytes.readUInt32BE(26),
    text: bytes.toString('latin1', HEAD_BYTES),
    sum: bytes.readUInt32BE(18),
    isIntact: bytes.readUInt32BE(18) === computeSum(bytes),
  };
}
