/** Which member of a service's group owns each bucket: rendezvous over the eligible members. */
import { BUCKET_COUNT, computeRendezvousScore } from './hashing';

/** Rendezvous score of a member for one bucket of a service. */
export function computeBucketScore(service: string, bucket: number, target: string): number {
  return computeRendezvousScore(`${service}/${bucket}`, target);
}

/** Owners of all buckets, by bucket. */
export type BucketOwners = readonly (string | undefined)[];

/**
 * Computed owners by service and members. Many nodes of one process ask the same when
 * a group changes; the oldest results go first.
 */
const cachedOwners = new Map<string, BucketOwners>();
const MAXIMUM_CACHED_RESULTS = 4_096;

/** Owner of every bucket among the eligible members; all undefined when there is none. */
export function computeOwners(service: string, eligible: readonly string[]): BucketOwners {
  const key = [service, ...eligible].join('\n');
  const cached = cachedOwners.get(key);
  if (cached) {
    return cached;
  }
  const owners = Array.from({ length: BUCKET_COUNT }, (_, bucket) =>
    findOwner(service, bucket, eligible),
  );
  cachedOwners.set(key, owners);
  if (cachedOwners.size > MAXIMUM_CACHED_RESULTS) {
    cachedOwners.delete(cachedOwners.keys().next().value as string);
  }
  return owners;
}

function findOwner(
  service: string,
  bucket: number,
  eligible: readonly string[],
): string | undefined {
  let best: string | undefined;
  let bestScore = -1;
  for (const target of eligible) {
    const score = computeBucketScore(service, bucket, target);
    if (score > bestScore || (score === bestScore && target < best!)) {
      best = target;
      bestScore = score;
    }
  }
  return best;
}
