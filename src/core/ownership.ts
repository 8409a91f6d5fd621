/** Which member of a service's group owns each bucket: rendezvous over the eligible members. */
import { BUCKET_COUNT, rendezvousScore } from './hashing';

/** Rendezvous score of a member for one bucket of a service. */
export function bucketScore(service: string, bucket: number, target: string): number {
  return rendezvousScore(`${service}/${bucket}`, target);
}

/** Owners of all buckets, by bucket. */
export type BucketOwners = readonly (string | undefined)[];

/**
 * Computed owners by service and members. Many nodes of one process ask the same when
 * a group changes; the oldest results go first.
 */
const computed = new Map<string, BucketOwners>();
const COMPUTED_KEPT = 4_096;

/** Owner of every bucket among the eligible members; all undefined when there is none. */
export function computeOwners(service: string, eligible: readonly string[]): BucketOwners {
  const key = [service, ...eligible].join('\n');
  const known = computed.get(key);
  if (known) {
    return known;
  }
  const owners = Array.from({ length: BUCKET_COUNT }, (_, bucket) =>
    ownerOf(service, bucket, eligible),
  );
  computed.set(key, owners);
  if (computed.size > COMPUTED_KEPT) {
    computed.delete(computed.keys().next().value as string);
  }
  return owners;
}

function ownerOf(service: string, bucket: number, eligible: readonly string[]): string | undefined {
  let best: string | undefined;
  let bestScore = -1;
  for (const target of eligible) {
    const score = bucketScore(service, bucket, target);
    if (score > bestScore || (score === bestScore && target < best!)) {
      best = target;
      bestScore = score;
    }
  }
  return best;
}
