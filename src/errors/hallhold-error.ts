/** The one error type that crosses module seams, carried in a ts-results `Err`. */
import { Err } from 'ts-results';
import type { ResultCode, RetryAdvice } from './result-codes';

/** A failure with a numbered result code and, where known, what exactly was wrong. */
export class HallholdError extends Error {
  /** @param details one line for each thing that was wrong, for example a table row */
  constructor(
    readonly resultCode: ResultCode,
    message: string,
    readonly details: readonly string[] = [],
  ) {
    super(message);
    this.name = 'HallholdError';
  }

  /** Whether the same call may be made again. */
  get retry(): RetryAdvice {
    return this.resultCode.retry;
  }

  /** The error as an operator reads it: number, name, message, details. */
  describe(): string {
    const summary = `error ${this.resultCode.number} ${this.resultCode.name}: ${this.message}`;
    return [summary, ...this.details.map((detail) => `  ${detail}`)].join('\n');
  }
}

/** Shorthand for an `Err` that holds a {@link HallholdError}. */
export function createFailure(
  resultCode: ResultCode,
  message: string,
  details: readonly string[] = [],
): Err<HallholdError> {
  return new Err(new HallholdError(resultCode, message, details));
}

/** The message of anything that was thrown. */
export function getErrorMessage(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
