/** Packet format of the simulation: the fields of {@link FlowPacket} at fixed offsets. */
import type { Endpoint } from '../../environment';
import type { FlowPacket, PacketFormat } from '../../packets/flow-packet';

const Offset = {
  flags: 0,
  client: 1,
  destination: 7,
  sequence: 13,
  acknowledgement: 17,
  token: 21,
  payload: 25,
} as const;
const ENDPOINT_BYTES = 6;

/** Prefix of answers to failed requests. */
export const FAILED_ANSWER_PREFIX = 'failed: ';

/** Flags of a model packet. */
export const ModelFlag = { opens: 1, ends: 2, resets: 4, refused: 8 } as const;

/** Fields of a model packet. */
export interface ModelPacketFields {
  readonly client: Endpoint;
  readonly destination: Endpoint;
  readonly flags: number;
  readonly sequence: number;
  readonly acknowledgement: number;
  readonly payload?: string;
}

/** Encodes a model packet. */
export function encodeModelPacket(fields: ModelPacketFields): Buffer {
  const payload = Buffer.from(fields.payload ?? '');
  const bytes = Buffer.alloc(Offset.payload + payload.length);
  bytes[Offset.flags] = fields.flags;
  bytes.writeUIntBE(fields.client, Offset.client, ENDPOINT_BYTES);
  bytes.writeUIntBE(fields.destination, Offset.destination, ENDPOINT_BYTES);
  bytes.writeUInt32BE(fields.sequence, Offset.sequence);
  bytes.writeUInt32BE(fields.acknowledgement, Offset.acknowledgement);
  payload.copy(bytes, Offset.payload);
  return bytes;
}

/** Decodes the payload of a packet as text. */
export function decodePayload(packet: FlowPacket): string {
  return packet.bytes.toString('utf8', Offset.payload);
}

function decode(bytes: Buffer): FlowPacket | undefined {
  if (bytes.length < Offset.payload) {
    return undefined;
  }
  const flags = bytes[Offset.flags]!;
  const opens = (flags & ModelFlag.opens) !== 0;
  const acknowledgement = bytes.readUInt32BE(Offset.acknowledgement);
  return {
    flow: bytes.toString('latin1', Offset.client, Offset.sequence),
    client: bytes.readUIntBE(Offset.client, ENDPOINT_BYTES),
    destination: bytes.readUIntBE(Offset.destination, ENDPOINT_BYTES),
    opens,
    ends: (flags & ModelFlag.ends) !== 0,
    resets: (flags & ModelFlag.resets) !== 0,
    refused: (flags & ModelFlag.refused) !== 0,
    openingCopy: opens ? acknowledgement : 0,
    sequence: bytes.readUInt32BE(Offset.sequence),
    acknowledgement,
    payloadLength: bytes.length - Offset.payload,
    isFull: false,
    bytes,
  };
}

/** The simulation's packet format. */
export const modelPacketFormat: PacketFormat = {
  decodeFromClient: decode,
  decodeFromTarget: decode,
  writeToken: (bytes, token) => void bytes.writeUInt32BE(token, Offset.token),
  readToken: (bytes) => bytes.readUInt32BE(Offset.token),
  restoreClientForm(bytes) {
    bytes.writeUInt32BE(0, Offset.token);
    bytes[Offset.flags]! &= ~ModelFlag.refused;
  },
  readRequestId: () => undefined,
  isFailure: (packet) => decodePayload(packet).startsWith(FAILED_ANSWER_PREFIX),
  createReset: ({ client, destination }) =>
    encodeModelPacket({
      client,
      destination,
      flags: ModelFlag.resets,
      sequence: 0,
      acknowledgement: 0,
    }),
};
