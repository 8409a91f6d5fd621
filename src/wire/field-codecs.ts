/** Validation of single fields of received messages, shared by the message schemas. */

/** A received value that is not valid for its field. */
export class FieldError extends Error {}

/** Converts one field between its typed value and its BSON value. */
export interface FieldCodec {
  readonly key: string;
  readonly property: string;
  /** Converts a typed value to its BSON value; absent when they are the same. */
  readonly pack?: (value: never) => unknown;
  /** Validates a received BSON value and returns the typed value, or throws {@link FieldError}. */
  readonly unpack: (value: unknown) => unknown;
}

const MAXIMUM_TEXT_LENGTH = 255;
const MAXIMUM_LIST_LENGTH = 20_000;

/** Accepts a string of up to 255 characters; throws {@link FieldError} for anything else. */
export function unpackText(value: unknown): string {
  if (typeof value !== 'string' || value.length > MAXIMUM_TEXT_LENGTH) {
    throw new FieldError(`not a string of at most ${MAXIMUM_TEXT_LENGTH} characters`);
  }
  return value;
}

/** Accepts a non-negative safe integer; throws {@link FieldError} for anything else. */
export function unpackInteger(value: unknown): number {
  if (typeof value !== 'number' || !Number.isSafeInteger(value) || value < 0) {
    throw new FieldError('not a non-negative integer');
  }
  return value;
}

/** Accepts a finite number of 0 or more; throws {@link FieldError} for anything else. */
export function unpackNonNegativeNumber(value: unknown): number {
  if (typeof value !== 'number' || !Number.isFinite(value) || value < 0) {
    throw new FieldError('not a non-negative number');
  }
  return value;
}

/** Accepts binary data; throws {@link FieldError} for anything else. */
export function unpackBinary(value: unknown): Buffer {
  if (!Buffer.isBuffer(value)) {
    throw new FieldError('not binary data');
  }
  return value;
}

/** Accepts one of the allowed numbers; throws {@link FieldError} for anything else. */
export function createEnumUnpacker(...allowed: readonly number[]): (value: unknown) => number {
  return (value) => {
    if (typeof value !== 'number' || !allowed.includes(value)) {
      throw new FieldError('not one of the allowed values');
    }
    return value;
  };
}

/** Accepts a list of bounded length with valid items; throws {@link FieldError} otherwise. */
export function createListUnpacker<T>(unpackItem: (value: unknown) => T): (value: unknown) => T[] {
  return (value) => {
    if (!Array.isArray(value) || value.length > MAXIMUM_LIST_LENGTH) {
      throw new FieldError(`not a list of at most ${MAXIMUM_LIST_LENGTH} items`);
    }
    return value.map(unpackItem);
  };
}

/** Accepts a list of an exact length, items unchecked; throws {@link FieldError} otherwise. */
export function unpackTuple(value: unknown, length: number): unknown[] {
  if (!Array.isArray(value) || value.length !== length) {
    throw new FieldError(`not a list of ${length} items`);
  }
  return value;
}
