/** Answers by callback as promises. */
import type { Result } from 'ts-results';
import type { HallholdError } from '../../src/errors/hallhold-error';
import type { ResultCallback } from '../../src/packets/collection-port';

/** The answer to one call. */
export function awaitAnswer<T>(
  call: (answer: ResultCallback<T>) => void,
): Promise<Result<T, HallholdError>> {
  return new Promise((resolve) => call(resolve));
}
