/** Checks of single fields of received messages; shared by the message schemas. */

/** A value that does not have the form its field asks for. */
export class FieldError extends Error {}

/** Converts one field between its typed and its sent form. */
export interface FieldCodec {
  readonly key: string;
  readonly property: string;
  /** Typed value to bson value; absent when they are the same. */
  readonly pack?: (value: never) => unknown;
  /** Checks a received bson value and returns the typed value, or throws {@link FieldError}. */
  readonly unpack: (value: unknown) => unknown;
}

const MAXIMUM_TEXT_LENGTH = 255;
const MAXIMUM_LIST_LENGTH = 20_000;

/** A short text. Throws {@link FieldError} for anything else. */
export function unpackText(value: unknown): string {
  if (typeof value !== 'string' || value.length > MAXIMUM_TEXT_LENGTH) {
    throw new FieldError('not a short text');
  }
  return value;
}

/** A non-negative safe integer. Throws {@link FieldError} for anything else. */
export function unpackInteger(value: unknown): number {
  if (typeof value !== 'number' || !Number.isSafeInteger(value) || value < 0) {
    throw new FieldError('not a non-negative integer');
  }
  return value;
}

/** A finite number of 0 or more. Throws {@link FieldError} for anything else. */
export function unpackNonNegativeNumber(value: unknown): number {
  if (typeof value !== 'number' || !Number.isFinite(value) || value < 0) {
    throw new FieldError('not a non-negative number');
  }
  return value;
}

/** Bytes. Throws {@link FieldError} for anything else. */
export function unpackBinary(value: unknown): Buffer {
  if (!Buffer.isBuffer(value)) {
    throw new FieldError('not binary');
  }
  return value;
}

/** One of the listed numbers. Throws {@link FieldError} for anything else. */
export function createEnumUnpacker(...allowed: readonly number[]): (value: unknown) => number {
  return (value) => {
    if (typeof value !== 'number' || !allowed.includes(value)) {
      throw new FieldError('not an allowed state');
    }
    return value;
  };
}

/** A bounded list whose items pass a check. Throws {@link FieldError} for anything else. */
export function createListUnpacker<T>(unpackItem: (value: unknown) => T): (value: unknown) => T[] {
  return (value) => {
    if (!Array.isArray(value) || value.length > MAXIMUM_LIST_LENGTH) {
      throw new FieldError('not a list');
    }
    return value.map(unpackItem);
  };
}

/** A list of an exact length, items unchecked. Throws {@link FieldError} for anything else. */
export function unpackTuple(value: unknown, length: number): unknown[] {
  if (!Array.isArray(value) || value.length !== length) {
    throw new FieldError('not a tuple');
  }
  return value;
}
