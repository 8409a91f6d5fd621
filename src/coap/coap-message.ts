/** CoAP messages (RFC 7252), parsed and encoded with coap-packet, and the options hallhold uses. */
import { generate, parse, type Packet, type ParsedPacket } from 'coap-packet';
import { None, Some, type Option } from 'ts-results';

/** Option numbers of RFC 7252, 7641, 7959 and 9175, and one from the experimental range. */
export const CoapOption = {
  etag: 4,
  observe: 6,
  uriPath: 11,
  maxAge: 14,
  block2: 23,
  echo: 252,
  /** Milliseconds left for the back end to answer; private to hallhold, in the experimental range. */
  deadline: 65_000,
} as const;

/** Option names in messages parsed by coap-packet; it keeps other options as numbers. */
const OPTION_NAMES: ReadonlyMap<number, string> = new Map([
  [CoapOption.etag, 'ETag'],
  [CoapOption.observe, 'Observe'],
  [CoapOption.uriPath, 'Uri-Path'],
  [CoapOption.maxAge, 'Max-Age'],
  [CoapOption.block2, 'Block2'],
]);

/** Codes of messages that the agent itself creates. */
export const CoapCode = {
  empty: '0.00',
  content: '2.05',
  changed: '2.04',
  unauthorized: '4.01',
  serviceUnavailable: '5.03',
  gatewayTimeout: '5.04',
} as const;

const POST_CODE = '0.02';
const GET_CODE = '0.01';
const OBSERVE_REGISTER = 0;
const MAXIMUM_INTEGER_BYTES = 6;
/** Smallest Block2 value with a block number above 0: the number starts at bit 4. */
const MINIMUM_LATER_BLOCK_VALUE = 16;

/** A parsed message. */
export type CoapMessage = ParsedPacket;

/** Parses a datagram; `None` when it is not a CoAP message. */
export function parseCoap(datagram: Buffer): Option<CoapMessage> {
  try {
    return Some(parse(datagram));
  } catch {
    return None;
  }
}

/** Encodes a message. */
export function generateCoap(packet: Packet): Buffer {
  return generate(packet, Number.MAX_SAFE_INTEGER);
}

/** Returns the first value of an option, if present. */
export function findOption(message: CoapMessage, number: number): Buffer | undefined {
  const name = OPTION_NAMES.get(number);
  const found = message.options.find(
    (option) => option.name === name || Number(option.name) === number,
  );
  return found?.value;
}

/** Returns the options except one number, in the form that `generateCoap` accepts. */
export function omitOption(message: CoapMessage, number: number): CoapMessage['options'] {
  return message.options.filter((option) => Number(option.name) !== number);
}

/** Decodes an unsigned integer option; an empty value is 0 by RFC 7252. */
export function decodeInteger(value: Buffer | undefined): number | undefined {
  if (!value || value.length > MAXIMUM_INTEGER_BYTES) {
    return undefined;
  }
  return value.length === 0 ? 0 : value.readUIntBE(0, value.length);
}

/** Encodes an unsigned integer below 2^32 in as few bytes as possible. */
export function encodeInteger(value: number): Buffer {
  const bytes = Buffer.alloc(4);
  bytes.writeUInt32BE(value);
  const firstUsed = bytes.findIndex((byte) => byte !== 0);
  return firstUsed < 0 ? Buffer.alloc(0) : bytes.subarray(firstUsed);
}

/** Whether the code is a request code, 0.01 to 0.31. */
export function isRequest(message: CoapMessage): boolean {
  return message.code.startsWith('0.') && message.code !== CoapCode.empty;
}

/** Whether the message is a POST, which must not be executed twice. */
export function isPost(message: CoapMessage): boolean {
  return message.code === POST_CODE;
}

/** Whether the message is a GET that registers an observation (RFC 7641). */
export function isObserveRegistration(message: CoapMessage): boolean {
  const observe = decodeInteger(findOption(message, CoapOption.observe));
  return message.code === GET_CODE && observe === OBSERVE_REGISTER;
}

/** Whether the message is a GET that cancels an observation. */
export function isObserveCancellation(message: CoapMessage): boolean {
  const observe = decodeInteger(findOption(message, CoapOption.observe));
  return message.code === GET_CODE && observe !== undefined && observe !== OBSERVE_REGISTER;
}

/** Whether the request is for a later block of a transfer in progress (RFC 7959). */
export function isTransferContinuation(message: CoapMessage): boolean {
  const value = decodeInteger(findOption(message, CoapOption.block2));
  return value !== undefined && value >= MINIMUM_LATER_BLOCK_VALUE;
}

/** Returns the request path, for example "staff/reports". */
export function getUriPath(message: CoapMessage): string {
  const segments = message.options.filter((option) => option.name === 'Uri-Path');
  return segments.map((option) => option.value.toString()).join('/');
}
