/** Which member of a service's group owns each bucket: rendezvous over the eligible members. */
import { BUCKET_COUNT, rendezvousScore } from './hashing';

/** Rendezvous score of a member for one bucket of a service. */
export function bucketScore(service: string, bucket: number, target: string): number {
  return rendezvousScore(`${service}/${bucket}`, target);
}

/** Owner of every bucket among the eligible members; a list of undefined when there is none. */
export function computeOwners(
  service: string,
  eligible: readonly string[],
): readonly (string | undefined)[] {
  return Array.from({ length: BUCKET_COUNT }, (_, bucket) => {
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
  });
}
