/**
 * Frame codec of the packet interface. Messages that carry client packets have their fields at
 * fixed offsets before the packet's bytes: in a balancer that has just started, code is not yet
 * compiled, and decoding BSON would take most of its CPU time (docs/DECISIONS.md). All other
 * messages are sent as BSON documents.
 *
 * Body of a compact frame, big-endian: message type (1 byte), then by type
 *   deliver: search (4), services, packet
 *   notHeld: search (4), reason (1), packet
 *   held: flow
 *   search: search (4), balancer (6), phase (1), position (2), agents, services, packet
 *   noneHolds, noneKnows: search (4), agents, packet
 *   received: session (4), one to 64 sequence numbers (4 each)
 *   numberedDeliver: session (4), sequence number (4), search (4), services, packet
 *   numberedRefusal: session (4), sequence number (4), search (4), reason (1), packet
 *   report: report-frame.ts
 * where services are a length (2) and names separated by zero bytes, agents a count (2) and
 * addresses (6 each), and the last field extends to the end of the body.
 */
import { Ok, type Result } from 'ts-results';
import type { Endpoint } from '../environment';
import { createFailure, type HallholdError } from '../errors/hallhold-error';
import { ResultCodes } from '../errors/result-codes';
import { BODY_OFFSET, FrameCodec, type ClusterKey } from '../wire/frame-codec';
import { PACKET_MESSAGE_FIELDS } from './packet-message-schema';
import {
  COMPACT_FRAME_VERSION,
  MAXIMUM_ACKNOWLEDGED_SEQUENCES,
  MAXIMUM_SEARCH_AGENTS,
  PacketMessageType,
  RefusalReason,
  SearchPhase,
  type DeliverMessage,
  type Delivery,
  type HeldMessage,
  type HopNumber,
  type NoneHoldsMessage,
  type NoneKnowsMessage,
  type NotHeldMessage,
  type NumberedDeliverMessage,
  type NumberedRefusalMessage,
  type PacketMessage,
  type ReceivedMessage,
  type Refusal,
  type RefusalReasonValue,
  type ReportMessage,
  type SearchMessage,
  type SearchPhaseValue,
} from './packet-messages';
import { decodeReport, encodeReport, fitsCompactReport } from './report-frame';
import type { HopMessage } from './repair/hop-messages';

/** A message that has a compact form. */
export type CompactMessage =
  | DeliverMessage
  | NotHeldMessage
  | HeldMessage
  | SearchMessage
  | NoneHoldsMessage
  | NoneKnowsMessage
  | HopMessage;

type SearchEndMessage = NoneHoldsMessage | NoneKnowsMessage;

const SERVICE_SEPARATOR = '\0';
const MAXIMUM_CACHED_SERVICE_LISTS = 4_096;
const SEARCH_ID_RANGE = 2 ** 32;
/** Bytes of the fixed-length fields at the start of the body, including the type. */
const HEADER_BYTES = {
  deliver: 5,
  notHeld: 6,
  held: 1,
  search: 14,
  noneHolds: 5,
  received: 5,
} as const;
/** Session and sequence number, which follow the type in a numbered message. */
const HOP_NUMBER_BYTES = 8;
const SEQUENCE_BYTES = 4;
const COUNT_BYTES = 2;
const ENDPOINT_BYTES = 6;
const REFUSAL_REASONS: readonly number[] = Object.values(RefusalReason);
const SEARCH_PHASES: readonly number[] = Object.values(SearchPhase);

/** Message types that have a compact form. */
const HAS_COMPACT_FORM: Readonly<Record<PacketMessage['type'], boolean>> = {
  [PacketMessageType.deliver]: true,
  [PacketMessageType.notHeld]: true,
  [PacketMessageType.held]: true,
  [PacketMessageType.search]: true,
  [PacketMessageType.noneHolds]: true,
  [PacketMessageType.noneKnows]: true,
  [PacketMessageType.received]: true,
  [PacketMessageType.numberedDeliver]: true,
  [PacketMessageType.numberedRefusal]: true,
  [PacketMessageType.locate]: false,
  [PacketMessageType.detour]: false,
  [PacketMessageType.distanceProbe]: false,
  [PacketMessageType.distanceReply]: false,
  [PacketMessageType.eraSeen]: false,
  [PacketMessageType.flowDestinations]: false,
  [PacketMessageType.routeTerms]: false,
  [PacketMessageType.subscribe]: false,
  [PacketMessageType.report]: false,
  [PacketMessageType.peerStatus]: false,
};

/** Whether a message has a compact form. */
export function hasCompactForm(message: PacketMessage): message is CompactMessage {
  return HAS_COMPACT_FORM[message.type];
}

/** Encodes and decodes BSON frames and compact frames. */
export class PacketFrameCodec extends FrameCodec<PacketMessage> {
  /** Encoded service lists: there are few distinct ones, and every packet carries one. */
  private readonly packedServicesCache = new WeakMap<readonly string[], Buffer>();
  private readonly unpackedServicesCache = new Map<string, readonly string[]>();

  constructor(keys: readonly ClusterKey[]) {
    super(keys, PACKET_MESSAGE_FIELDS);
  }

  /** Encodes a message as a compact frame. */
  encodeCompact(message: CompactMessage): Buffer {
    const frame = this.encodeFrame(message);
    frame[BODY_OFFSET] = message.type;
    this.sealFrame(frame, COMPACT_FRAME_VERSION);
    return frame;
  }

  /** Authenticates and decodes a datagram of either version. Errors 1301 to 1303. */
  override decode(frame: Buffer): Result<PacketMessage, HallholdError> {
    if (frame[0] !== COMPACT_FRAME_VERSION) {
      return super.decode(frame);
    }
    const body = this.openFrame(frame, COMPACT_FRAME_VERSION);
    if (body.err) {
      return body;
    }
    const message = this.decodeBody(body.val);
    return message === undefined
      ? createFailure(ResultCodes.frameMalformed, 'malformed body of a compact frame')
      : new Ok(message);
  }

  /** Encodes a report for a node that supports compact reports; as BSON if it does not fit. */
  encodeReport(report: ReportMessage): Buffer {
    if (!fitsCompactReport(report)) {
      return this.encode(report);
    }
    const frame = encodeReport(report, BODY_OFFSET);
    this.sealFrame(frame, COMPACT_FRAME_VERSION);
    return frame;
  }

  private encodeFrame(message: CompactMessage): Buffer {
    switch (message.type) {
      case PacketMessageType.deliver:
        return this.writeDelivery(message, 0);
      case PacketMessageType.numberedDeliver:
        return writeHopNumber(this.writeDelivery(message, HOP_NUMBER_BYTES), message);
      case PacketMessageType.notHeld:
        return writeRefusal(message, 0);
      case PacketMessageType.numberedRefusal:
        return writeHopNumber(writeRefusal(message, HOP_NUMBER_BYTES), message);
      case PacketMessageType.received:
        return writeReceived(message);
      case PacketMessageType.held:
        return allocateFrame(HEADER_BYTES.held, message.flow);
      case PacketMessageType.search:
        return this.writeSearch(message);
      case PacketMessageType.noneHolds:
      case PacketMessageType.noneKnows: {
        const { agents } = message;
        const frame = allocateFrame(
          HEADER_BYTES.noneHolds + getEndpointsBytes(agents),
          message.payload,
        );
        frame.writeUInt32BE(message.searchId % SEARCH_ID_RANGE, BODY_OFFSET + 1);
        writeEndpoints(frame, BODY_OFFSET + HEADER_BYTES.noneHolds, agents);
        return frame;
      }
    }
  }

  /** @param shift bytes reserved after the type */
  private writeDelivery(message: Delivery, shift: number): Buffer {
    const services = this.packServices(message.services);
    const frame = allocateFrame(shift + HEADER_BYTES.deliver + services.length, message.payload);
    frame.writeUInt32BE(message.searchId % SEARCH_ID_RANGE, BODY_OFFSET + shift + 1);
    frame.set(services, BODY_OFFSET + shift + HEADER_BYTES.deliver);
    return frame;
  }

  private writeSearch(message: SearchMessage): Buffer {
    const { agents, payload } = message;
    const services = this.packServices(message.services);
    const servicesOffset = HEADER_BYTES.search + getEndpointsBytes(agents);
    const frame = allocateFrame(servicesOffset + services.length, payload);
    frame.writeUInt32BE(message.searchId % SEARCH_ID_RANGE, BODY_OFFSET + 1);
    frame.writeUIntBE(message.balancer, BODY_OFFSET + 5, ENDPOINT_BYTES);
    frame[BODY_OFFSET + 11] = message.phase;
    frame.writeUInt16BE(message.position, BODY_OFFSET + 12);
    writeEndpoints(frame, BODY_OFFSET + HEADER_BYTES.search, agents);
    frame.set(services, BODY_OFFSET + servicesOffset);
    return frame;
  }

  /** Decodes a body; undefined when it is malformed. */
  private decodeBody(body: Buffer): PacketMessage | undefined {
    switch (body[0]) {
      case PacketMessageType.deliver:
        return this.readDeliver(body);
      case PacketMessageType.numberedDeliver:
        return this.readNumberedDeliver(body);
      case PacketMessageType.notHeld:
        return readNotHeld(body);
      case PacketMessageType.numberedRefusal:
        return readNumberedRefusal(body);
      case PacketMessageType.received:
        return readReceived(body);
      case PacketMessageType.held:
        return { type: PacketMessageType.held, flow: body.subarray(HEADER_BYTES.held) };
      case PacketMessageType.report:
        return decodeReport(body);
      case PacketMessageType.search:
        return this.readSearch(body);
      case PacketMessageType.noneHolds:
      case PacketMessageType.noneKnows:
        return readSearchEnd(body[0], body);
      default:
        return undefined;
    }
  }

  private readDeliver(body: Buffer): DeliverMessage | undefined {
    const delivery = this.readDelivery(body, 0);
    return delivery && { type: PacketMessageType.deliver, ...delivery };
  }

  private readNumberedDeliver(body: Buffer): NumberedDeliverMessage | undefined {
    const delivery = this.readDelivery(body, HOP_NUMBER_BYTES);
    const type = PacketMessageType.numberedDeliver;
    return delivery && { type, ...readHopNumber(body), ...delivery };
  }

  /** @param shift bytes between the type and the fields of a delivery */
  private readDelivery(body: Buffer, shift: number): Delivery | undefined {
    const servicesOffset = shift + HEADER_BYTES.deliver;
    const end = findServicesEnd(body, servicesOffset);
    if (end === undefined) {
      return undefined;
    }
    return {
      searchId: body.readUInt32BE(shift + 1),
      services: this.unpackServices(body, servicesOffset, end),
      payload: body.subarray(end),
    };
  }

  private readSearch(body: Buffer): SearchMessage | undefined {
    const servicesOffset = findEndpointsEnd(body, HEADER_BYTES.search);
    const end = servicesOffset && findServicesEnd(body, servicesOffset);
    if (servicesOffset === undefined || end === undefined) {
      return undefined;
    }
    const agents = readEndpoints(body, HEADER_BYTES.search);
    const position = body.readUInt16BE(12);
    const phase = body[11]!;
    if (!SEARCH_PHASES.includes(phase) || position >= agents.length) {
      return undefined;
    }
    return {
      type: PacketMessageType.search,
      searchId: body.readUInt32BE(1),
      balancer: body.readUIntBE(5, ENDPOINT_BYTES),
      phase: phase as SearchPhaseValue,
      position,
      agents,
      services: this.unpackServices(body, servicesOffset, end),
      payload: body.subarray(end),
    };
  }

  private packServices(services: readonly string[]): Buffer {
    const cached = this.packedServicesCache.get(services);
    if (cached) {
      return cached;
    }
    const names = Buffer.from(services.join(SERVICE_SEPARATOR));
    const packed = Buffer.allocUnsafe(COUNT_BYTES + names.length);
    packed.writeUInt16BE(names.length, 0);
    packed.set(names, COUNT_BYTES);
    this.packedServicesCache.set(services, packed);
    return packed;
  }

  private unpackServices(body: Buffer, offset: number, end: number): readonly string[] {
    const text = body.toString('utf8', offset + COUNT_BYTES, end);
    const cached = this.unpackedServicesCache.get(text);
    if (cached) {
      return cached;
    }
    if (this.unpackedServicesCache.size >= MAXIMUM_CACHED_SERVICE_LISTS) {
      this.unpackedServicesCache.clear();
    }
    const services = text.split(SERVICE_SEPARATOR);
    this.unpackedServicesCache.set(text, services);
    return services;
  }
}

/** Allocates a frame and writes its last field. */
function allocateFrame(headerBytes: number, lastField: Buffer): Buffer {
  const frame = Buffer.allocUnsafe(BODY_OFFSET + headerBytes + lastField.length);
  frame.set(lastField, BODY_OFFSET + headerBytes);
  return frame;
}

/** @param shift bytes reserved after the type */
function writeRefusal(message: Refusal, shift: number): Buffer {
  const frame = allocateFrame(shift + HEADER_BYTES.notHeld, message.payload);
  frame.writeUInt32BE(message.searchId % SEARCH_ID_RANGE, BODY_OFFSET + shift + 1);
  frame[BODY_OFFSET + shift + 5] = message.reason;
  return frame;
}

/** Writes a message's hop number into the bytes reserved for it. */
function writeHopNumber(frame: Buffer, { session, sequence }: HopNumber): Buffer {
  frame.writeUInt32BE(session, BODY_OFFSET + 1);
  frame.writeUInt32BE(sequence, BODY_OFFSET + 5);
  return frame;
}

function writeReceived({ session, sequences }: ReceivedMessage): Buffer {
  const numbers = Buffer.allocUnsafe(sequences.length * SEQUENCE_BYTES);
  sequences.forEach((sequence, index) => numbers.writeUInt32BE(sequence, index * SEQUENCE_BYTES));
  const frame = allocateFrame(HEADER_BYTES.received, numbers);
  frame.writeUInt32BE(session, BODY_OFFSET + 1);
  return frame;
}

function readNotHeld(body: Buffer): NotHeldMessage | undefined {
  const refusal = readRefusal(body, 0);
  return refusal && { type: PacketMessageType.notHeld, ...refusal };
}

function readNumberedRefusal(body: Buffer): NumberedRefusalMessage | undefined {
  const refusal = readRefusal(body, HOP_NUMBER_BYTES);
  const type = PacketMessageType.numberedRefusal;
  return refusal && { type, ...readHopNumber(body), ...refusal };
}

/** @param shift bytes between the type and the fields of a refusal */
function readRefusal(body: Buffer, shift: number): Refusal | undefined {
  const reason = body[shift + 5];
  if (reason === undefined || !REFUSAL_REASONS.includes(reason)) {
    return undefined;
  }
  return {
    searchId: body.readUInt32BE(shift + 1),
    reason: reason as RefusalReasonValue,
    payload: body.subarray(shift + HEADER_BYTES.notHeld),
  };
}

/** Reads the hop number; the body must be long enough. */
function readHopNumber(body: Buffer): HopNumber {
  return { session: body.readUInt32BE(1), sequence: body.readUInt32BE(5) };
}

function readReceived(body: Buffer): ReceivedMessage | undefined {
  const count = (body.length - HEADER_BYTES.received) / SEQUENCE_BYTES;
  if (!Number.isInteger(count) || count < 1 || count > MAXIMUM_ACKNOWLEDGED_SEQUENCES) {
    return undefined;
  }
  const sequences: number[] = [];
  for (let index = 0; index < count; index++) {
    sequences.push(body.readUInt32BE(HEADER_BYTES.received + index * SEQUENCE_BYTES));
  }
  return { type: PacketMessageType.received, session: body.readUInt32BE(1), sequences };
}

function readSearchEnd(type: SearchEndMessage['type'], body: Buffer): SearchEndMessage | undefined {
  const end = findEndpointsEnd(body, HEADER_BYTES.noneHolds);
  if (end === undefined) {
    return undefined;
  }
  return {
    type,
    searchId: body.readUInt32BE(1),
    agents: readEndpoints(body, HEADER_BYTES.noneHolds),
    payload: body.subarray(end),
  };
}

/** Offset after a length-prefixed text; undefined when the body is too short. */
function findServicesEnd(body: Buffer, offset: number): number | undefined {
  if (body.length < offset + COUNT_BYTES) {
    return undefined;
  }
  const end = offset + COUNT_BYTES + body.readUInt16BE(offset);
  return end <= body.length ? end : undefined;
}

function getEndpointsBytes(endpoints: readonly Endpoint[]): number {
  return COUNT_BYTES + endpoints.length * ENDPOINT_BYTES;
}

function writeEndpoints(frame: Buffer, offset: number, endpoints: readonly Endpoint[]): void {
  frame.writeUInt16BE(endpoints.length, offset);
  let at = offset + COUNT_BYTES;
  for (const endpoint of endpoints) {
    frame.writeUIntBE(endpoint, at, ENDPOINT_BYTES);
    at += ENDPOINT_BYTES;
  }
}

/** Offset after a list of endpoints; undefined when it is too long, or the body too short. */
function findEndpointsEnd(body: Buffer, offset: number): number | undefined {
  if (body.length < offset + COUNT_BYTES) {
    return undefined;
  }
  const count = body.readUInt16BE(offset);
  const end = offset + COUNT_BYTES + count * ENDPOINT_BYTES;
  return count <= MAXIMUM_SEARCH_AGENTS && end <= body.length ? end : undefined;
}

function readEndpoints(body: Buffer, offset: number): Endpoint[] {
  const count = body.readUInt16BE(offset);
  const endpoints: Endpoint[] = [];
  for (let index = 0; index < count; index++) {
    endpoints.push(body.readUIntBE(offset + COUNT_BYTES + index * ENDPOINT_BYTES, ENDPOINT_BYTES));
  }
  return endpoints;
}
