/** What identifies one run of a process. */
import type { ClusterKey } from '../wire/frame-codec';

/** Milliseconds since 1970 at start: rises with each start, also on a replaced machine. */
export function createIncarnation(): number {
  return Date.now();
}

/** Keys from settings in the form the codec takes. */
export function createClusterKeys(
  keys: readonly { readonly id: number; readonly secret: string }[],
): ClusterKey[] {
  return keys.map(({ id, secret }) => ({ id, secret: Buffer.from(secret) }));
}
