/**
 * A packet of a client's flow, as the nodes of the packet interface see it.
 *
 * The wire form belongs to an adapter, which implements {@link PacketFormat}; the nodes
 * decide by the fields here and pass the bytes on unchanged.
 */
import type { Endpoint } from '../environment';

/** Identifies a flow by both of its ends; the same for packets of either direction. */
export type FlowKey = string;

/** One decoded packet. */
export interface FlowPacket {
  readonly flow: FlowKey;
  /** The client's end of the flow. */
  readonly client: Endpoint;
  /** The address of the route that the client named. */
  readonly destination: Endpoint;
  /** Asks for a new flow (SYN). */
  readonly opens: boolean;
  /** Closes its sender's direction (FIN). */
  readonly ends: boolean;
  /** Breaks the flow off (RST). */
  readonly resets: boolean;
  /** A target returned this client's packet because it does not hold the flow. */
  readonly refused: boolean;
  /** Copy number of an opening packet, from 0. */
  readonly openingCopy: number;
  /** Sequence number of the sender. */
  readonly sequence: number;
  /** Sequence number of the other end that the sender acknowledges. */
  readonly acknowledgement: number;
  /** Bytes of data that the packet carries. */
  readonly payloadLength: number;
  /** Carries as much data as a packet can: the message that it is part of goes on. */
  readonly isFull: boolean;
  /** The packet as received. */
  readonly bytes: Buffer;
}

/** Reads and writes packets in the form that clients and targets use. */
export interface PacketFormat {
  /** A client's packet; undefined when the bytes are no packet. */
  decodeFromClient(bytes: Buffer): FlowPacket | undefined;
  /** A packet that a target sent or returned; undefined when the bytes are no packet. */
  decodeFromTarget(bytes: Buffer): FlowPacket | undefined;
  /** Writes a 32-bit token into a field that targets return unread; 0 clears it. */
  writeToken(bytes: Buffer, token: number): void;
  /** The token of a returned packet. */
  readToken(bytes: Buffer): number;
  /** Clears the refusal mark and the token, which restores the client's own form. */
  restoreClientForm(bytes: Buffer): void;
  /** The id of the request that begins in a packet's data, if one does. */
  readRequestId(packet: FlowPacket): string | undefined;
  /** Whether the answer that begins in a target's packet says that the request failed. */
  isFailure(packet: FlowPacket): boolean;
  /** A reset for the client, in answer to one of its packets. */
  createReset(packet: FlowPacket): Buffer;
}
