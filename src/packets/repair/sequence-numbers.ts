/** Arithmetic of 32-bit sequence numbers, which wrap around (RFC 1982, RFC 9293 section 3.4). */
import type { FlowPacket } from '../flow-packet';

/** Distance from one sequence number to another; negative when the other precedes it. */
export function computeDistance(from: number, to: number): number {
  return (to - from) | 0;
}

/** Sequence numbers that a packet occupies: its data, and one each for SYN and FIN. */
export function computeSequenceLength(packet: FlowPacket): number {
  return packet.payloadLength + Number(packet.opens) + Number(packet.ends);
}

/** The sequence number after a packet, which the receiver acknowledges. */
export function computeEndSequence(packet: FlowPacket): number {
  return (packet.sequence + computeSequenceLength(packet)) >>> 0;
}
