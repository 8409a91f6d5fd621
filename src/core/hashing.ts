/** Hashes that must be the same on every node: buckets of flows and rendezvous scores. */
import murmurhash from 'murmurhash';
import type { Endpoint } from '../environment';

/** Buckets into which a service's flows are divided; the unit of directory ownership. */
export const BUCKET_COUNT = 256;

const ENDPOINT_BYTES = 6;
const scratch = Buffer.alloc(ENDPOINT_BYTES);

/** 32-bit MurmurHash3 of a text. */
export function hashText(text: string): number {
  return murmurhash.v3(Buffer.from(text));
}

/** The seed of a service for {@link computeBucket}; compute it once per service. */
export function computeServiceSeed(service: string): number {
  return hashText(service);
}

/** The bucket of a caller's flow: hash(caller, service) mod 256. */
export function computeBucket(caller: Endpoint, seed: number): number {
  scratch.writeUIntBE(caller, 0, ENDPOINT_BYTES);
  return murmurhash.v3(scratch, seed) & (BUCKET_COUNT - 1);
}

/** Rendezvous score of a candidate for a key; the highest score wins. */
export function computeRendezvousScore(key: string, candidate: string): number {
  return hashText(`${key}\n${candidate}`);
}

/** The candidates ordered from the best rendezvous score to the worst. */
export function rankByRendezvous(key: string, candidates: readonly string[]): string[] {
  const scored = candidates.map((name) => ({ name, score: computeRendezvousScore(key, name) }));
  scored.sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1));
  return scored.map(({ name }) => name);
}
