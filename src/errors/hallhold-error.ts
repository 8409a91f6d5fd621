/** The error type of all module interfaces, carried in a ts-results `Err`. */
import { Err } from 'ts-results';
import type { ResultCode, RetryAdvice } from './result-codes';

/** A failure with a numbered result code and, where known, details of what was invalid. */
export class HallholdError extends Error {
  /** @param details one line for each problem, for example for each invalid table row */
  constructor(
    readonly resultCode: ResultCode,
    message: string,
    readonly details: readonly string[] = [],
  ) {
    super(message);
    this.name = 'HallholdError';
  }

  /** Whether the same call may be retried. */
  get retry(): RetryAdvice {
    return this.resultCode.retry;
  }

  /** Formats the error for operators: number, name, message, details. */
  describe(): string {
    const summary = `error ${this.resultCode.number} ${this.resultCode.name}: ${this.message}`;
    return [summary, ...this.details.map((detail) => `  ${detail}`)].join('\n');
  }
}

/** Creates an `Err` that holds a {@link HallholdError}. */
export function createFailure(
  resultCode: ResultCode,
  message: string,
  details: readonly string[] = [],
): Err<HallholdError> {
  return new Err(new HallholdError(resultCode, message, details));
}

/** Returns the message of any thrown value. */
export function getErrorMessage(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
