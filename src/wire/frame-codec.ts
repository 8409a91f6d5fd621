/**
 * Encodes messages as authenticated frames and decodes them.
 *
 * Frame layout: version (1 byte), key id (1 byte), truncated HMAC-SHA256 of the
 * body (16 bytes), body (BSON document).
 */
import { deserialize, serialize } from 'bson';
import { Ok, type Result } from 'ts-results';
import { createFailure, getErrorMessage, type HallholdError } from '../errors/hallhold-error';
import { ResultCodes } from '../errors/result-codes';
import { FrameAuthenticator, TAG_BYTES } from './frame-authenticator';
import type { FieldCodec } from './field-codecs';
import { MESSAGE_FIELDS } from './message-schema';
import type { Message } from './messages';

const FRAME_VERSION = 1;
const TAG_OFFSET = 2;
/** Offset of the body in a frame, in bytes. */
export const BODY_OFFSET = TAG_OFFSET + TAG_BYTES;
const TYPE_KEY = 't';

/** A cluster key; `id` is sent in the frame and selects the key to verify it with. */
export interface ClusterKey {
  /** 0 to 255. */
  readonly id: number;
  readonly secret: Buffer;
}

/** Fields of each message type of one protocol, by numeric type. */
export type MessageSchema = ReadonlyMap<number, readonly FieldCodec[]>;

/** Signs frames with the first key and accepts frames signed with any of the keys. */
export class FrameCodec<M extends { readonly type: number } = Message> {
  private authenticators = new Map<number, FrameAuthenticator>();
  private activeKeys: readonly ClusterKey[] = [];

  /**
   * @param keys one, or two while a key is being replaced; must not be empty
   * @param schema the protocol; by default that of the datagram interface
   */
  constructor(
    keys: readonly ClusterKey[],
    private readonly schema: MessageSchema = MESSAGE_FIELDS,
  ) {
    this.replaceKeys(keys);
  }

  /** The active keys; the first one signs. */
  get keys(): readonly ClusterKey[] {
    return this.activeKeys;
  }

  /** Replaces the active keys. */
  replaceKeys(keys: readonly ClusterKey[]): void {
    this.activeKeys = keys;
    this.authenticators = new Map(keys.map((key) => [key.id, new FrameAuthenticator(key.secret)]));
  }

  /** Encodes a message as the frame of one datagram. */
  encode(message: M): Buffer {
    const body = serialize(encodeDocument(message, this.schema.get(message.type)!));
    const frame = Buffer.allocUnsafe(BODY_OFFSET + body.length);
    frame.set(body, BODY_OFFSET);
    this.sealFrame(frame, FRAME_VERSION);
    return frame;
  }

  /** Authenticates and decodes a received frame. Errors 1301 to 1303. */
  decode(frame: Buffer): Result<M, HallholdError> {
    return this.openFrame(frame, FRAME_VERSION).andThen((body) => decodeBody<M>(body, this.schema));
  }

  /** Writes version, key id and tag in front of the body of a frame. */
  protected sealFrame(frame: Buffer, version: number): void {
    const { id } = this.activeKeys[0]!;
    frame[0] = version;
    frame[1] = id;
    this.authenticators.get(id)!.writeTag(frame.subarray(BODY_OFFSET), frame, TAG_OFFSET);
  }

  /** Verifies a frame of a version and returns its body. Errors 1301 and 1302. */
  protected openFrame(frame: Buffer, version: number): Result<Buffer, HallholdError> {
    if (frame.length <= BODY_OFFSET) {
      return createFailure(
        ResultCodes.frameTooShort,
        `a frame of ${frame.length} bytes has no body`,
      );
    }
    const body = frame.subarray(BODY_OFFSET);
    const key = frame[0] === version ? this.authenticators.get(frame[1]!) : undefined;
    if (!key) {
      return createFailure(ResultCodes.frameNotAuthentic, 'unknown version or key id');
    }
    if (!key.verifyTag(body, frame.subarray(TAG_OFFSET, BODY_OFFSET))) {
      return createFailure(ResultCodes.frameNotAuthentic, 'the authentication tag does not match');
    }
    return new Ok(body);
  }
}

function encodeDocument(
  message: { readonly type: number },
  fields: readonly FieldCodec[],
): Record<string, unknown> {
  const source = message as unknown as Record<string, unknown>;
  const document: Record<string, unknown> = { [TYPE_KEY]: message.type };
  for (const { key, property, pack } of fields) {
    const value = source[property];
    document[key] = pack ? pack(value as never) : value;
  }
  return document;
}

function decodeBody<M>(body: Buffer, schema: MessageSchema): Result<M, HallholdError> {
  try {
    const document = deserialize(body, { promoteBuffers: true });
    const type: unknown = document[TYPE_KEY];
    const fields = typeof type === 'number' ? schema.get(type) : undefined;
    if (!fields) {
      return createFailure(ResultCodes.frameMalformed, 'unknown message type');
    }
    return new Ok(decodeMessage<M>(type as number, fields, document));
  } catch (error) {
    return createFailure(ResultCodes.frameMalformed, getErrorMessage(error));
  }
}

function decodeMessage<M>(
  type: number,
  fields: readonly FieldCodec[],
  document: Record<string, unknown>,
): M {
  const message: Record<string, unknown> = { type };
  for (const { key, property, unpack } of fields) {
    message[property] = unpack(document[key]);
  }
  return message as unknown as M;
}
