/** Incarnation and cluster keys of a process. */
import type { ClusterKey } from '../wire/frame-codec';

/** Start time in Unix milliseconds: increases with each start, also on a replaced machine. */
export function createIncarnation(): number {
  return Date.now();
}

/** Converts keys from the settings to the codec's form. */
export function createClusterKeys(
  keys: readonly { readonly id: number; readonly secret: string }[],
): ClusterKey[] {
  return keys.map(({ id, secret }) => ({ id, secret: Buffer.from(secret) }));
}
