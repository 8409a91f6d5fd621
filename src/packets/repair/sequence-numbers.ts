/** Arithmetic of 32-bit sequence numbers, which wrap around (RFC 1982, RFC 9293 section 3.4). */
import type { FlowPacket } from '../flow-packet';

/** Numbers from one sequence number on to another; below 0 when the other lies before it. */
export function computeDistance(from: number, to: number): number {
  return (to - from) | 0;
}

/** Sequence numbers that a packet takes up: its data, and one each for opening and end. */
export function computeSequenceLength(packet: FlowPacket): number {
  return packet.payloadLength + Number(packet.opens) + Number(packet.ends);
}

/** The sequence number after a packet, which its receiver acknowledges. */
export function computeEndSequence(packet: FlowPacket): number {
  return (packet.sequence + computeSequenceLength(packet)) >>> 0;
}
