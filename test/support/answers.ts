/** Converts callback results to promises. */
import type { Result } from 'ts-results';
import type { HallholdError } from '../../src/errors/hallhold-error';
import type { ResultCallback } from '../../src/packets/collection-port';

/** Resolves with the result of one call. */
export function awaitAnswer<T>(
  call: (answer: ResultCallback<T>) => void,
): Promise<Result<T, HallholdError>> {
  return new Promise((resolve) => call(resolve));
}
