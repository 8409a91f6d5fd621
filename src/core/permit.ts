/**
 * Permits: single-use, short-lived tokens that allow one non-idempotent request to run.
 * Carried in the Echo option of RFC 9175.
 *
 * A permit is bound to one agent incarnation and one caller. Layout, in bytes:
 * incarnation 6, serial 6, expiry 6 (milliseconds of the issuer's own monotonic
 * clock), truncated HMAC-SHA256 8.
 */
import { createHmac, timingSafeEqual } from 'node:crypto';
import type { Endpoint } from '../environment';

const INTEGER_BYTES = 6;
const BODY_BYTES = 3 * INTEGER_BYTES;
const TAG_BYTES = 8;

/** Bytes of an encoded permit; RFC 9175 allows 1 to 40. */
export const PERMIT_BYTES = BODY_BYTES + TAG_BYTES;

/** The decoded, authentic content of a permit. */
export interface Permit {
  readonly incarnation: number;
  readonly serial: number;
  /** On the issuer's monotonic clock, in milliseconds. */
  readonly expiresAt: number;
}

function computeTag(body: Buffer, caller: Endpoint, secret: Buffer): Buffer {
  const tag = createHmac('sha256', secret).update('permit').update(body).update(String(caller));
  return tag.digest().subarray(0, TAG_BYTES);
}

/** Encodes a permit for one caller. */
export function encodePermit(permit: Permit, caller: Endpoint, secret: Buffer): Buffer {
  const body = Buffer.alloc(BODY_BYTES);
  body.writeUIntBE(permit.incarnation, 0, INTEGER_BYTES);
  body.writeUIntBE(permit.serial, INTEGER_BYTES, INTEGER_BYTES);
  body.writeUIntBE(Math.ceil(permit.expiresAt), 2 * INTEGER_BYTES, INTEGER_BYTES);
  return Buffer.concat([body, computeTag(body, caller, secret)]);
}

/** Decodes a permit issued to this caller under any of the secrets; undefined when forged. */
export function decodePermit(
  bytes: Buffer,
  caller: Endpoint,
  secrets: readonly Buffer[],
): Permit | undefined {
  if (bytes.length !== PERMIT_BYTES) {
    return undefined;
  }
  const body = bytes.subarray(0, BODY_BYTES);
  const tag = bytes.subarray(BODY_BYTES);
  if (!secrets.some((secret) => timingSafeEqual(computeTag(body, caller, secret), tag))) {
    return undefined;
  }
  return {
    incarnation: body.readUIntBE(0, INTEGER_BYTES),
    serial: body.readUIntBE(INTEGER_BYTES, INTEGER_BYTES),
    expiresAt: body.readUIntBE(2 * INTEGER_BYTES, INTEGER_BYTES),
  };
}
