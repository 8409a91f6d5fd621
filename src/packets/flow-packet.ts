/**
 * The decoded form of a packet of a client's flow.
 *
 * An adapter that implements {@link PacketFormat} handles the wire format; the nodes decide by
 * the fields here and forward the bytes unchanged.
 */
import type { Endpoint } from '../environment';

/** Identifies a flow by its two endpoints; the same for both directions. */
export type FlowKey = string;

/** One decoded packet. */
export interface FlowPacket {
  readonly flow: FlowKey;
  /** The client's endpoint of the flow. */
  readonly client: Endpoint;
  /** The destination address used by the client, which identifies the route. */
  readonly destination: Endpoint;
  /** Asks for a new flow (SYN). */
  readonly opens: boolean;
  /** Closes its sender's direction (FIN). */
  readonly ends: boolean;
  /** Aborts the flow (RST). */
  readonly resets: boolean;
  /** A target returned this client's packet because it does not hold the flow. */
  readonly refused: boolean;
  /** Number of the transmission of an opening packet, from 0. */
  readonly openingCopy: number;
  /** Sequence number of the sender. */
  readonly sequence: number;
  /** Acknowledged sequence number of the other endpoint. */
  readonly acknowledgement: number;
  /** Length of the payload in bytes. */
  readonly payloadLength: number;
  /** Has the maximum payload length, so its message continues in the next packet. */
  readonly isFull: boolean;
  /** The packet as received. */
  readonly bytes: Buffer;
}

/** Reads and writes packets in the wire format of clients and targets. */
export interface PacketFormat {
  /** Decodes a client's packet; undefined when the bytes are not a valid packet. */
  decodeFromClient(bytes: Buffer): FlowPacket | undefined;
  /** Decodes a packet that a target sent or rejected; undefined when the bytes are not a valid packet. */
  decodeFromTarget(bytes: Buffer): FlowPacket | undefined;
  /** Writes a 32-bit token into a field that targets return unchanged; 0 clears it. */
  writeToken(bytes: Buffer, token: number): void;
  /** Reads the token of a rejected packet. */
  readToken(bytes: Buffer): number;
  /** Clears the refusal mark and the token, which restores the packet that the client sent. */
  restoreClientForm(bytes: Buffer): void;
  /** Reads the id of the request that begins in a packet's payload; undefined for none. */
  readRequestId(packet: FlowPacket): string | undefined;
  /** Whether the answer that begins in a target's packet reports a failed request. */
  isFailure(packet: FlowPacket): boolean;
  /** Creates a reset for the client in response to one of its packets. */
  createReset(packet: FlowPacket): Buffer;
}
