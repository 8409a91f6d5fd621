/** Bucket ownership within a service's group: rendezvous hashing over the eligible members. */
import { BUCKET_COUNT, computeRendezvousScore } from './hashing';

/** Rendezvous score of a member for one bucket of a service. */
export function computeBucketScore(service: string, bucket: number, target: string): number {
  return computeRendezvousScore(`${service}/${bucket}`, target);
}

/** Owners indexed by bucket. */
export type BucketOwners = readonly (string | undefined)[];

/**
 * Results by service and members: many nodes of one process compute the same when a group
 * changes. The oldest results are evicted first.
 */
const cachedOwners = new Map<string, BucketOwners>();
const MAXIMUM_CACHED_RESULTS = 4_096;

/** Owner of every bucket; all undefined without eligible members. */
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
