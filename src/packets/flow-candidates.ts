/**
 * The candidate order of agents for a flow, the same at every balancer of a zone.
 *
 * New flows go to the least loaded of the first few, and a search queries those first. So a
 * balancer that has never seen a flow finds its agent among a few, however many there are, and
 * without stored state (rendezvous hashing; D. G. Thaler and C. V. Ravishankar, 1998). The
 * least loaded of a few random agents is nearly as good as the least loaded of all, and better
 * when load data is stale (M. Mitzenmacher, "How useful is old information?", 2000).
 */
import { hashText } from '../core/hashing';
import type { Endpoint } from '../environment';
import type { FlowKey } from './flow-packet';

/**
 * Agents among which a new flow is placed: with a quarter of all slots busy, one in a million
 * flows finds all ten of them busy.
 */
export const CANDIDATE_COUNT = 10;
/** Candidates from the balancer's own zone in every five: traffic between zones is costly. */
const OWN_ZONE_SHARE = 3;
const OTHER_ZONES_SHARE = 2;
const WORD_RANGE = 2 ** 32;

/** Properties of an agent that determine its place in the order. */
export interface Candidate {
  readonly address: Endpoint;
  readonly zone: string;
}

/** Sorts all agents into the candidate order of a flow. */
export function orderCandidates<T extends Candidate>(
  flow: FlowKey,
  agents: readonly T[],
  zone: string,
): T[] {
  const seed = hashText(flow);
  const own: T[] = [];
  const others: T[] = [];
  for (const agent of agents) {
    (agent.zone === zone ? own : others).push(agent);
  }
  return interleaveZones(orderByScore(own, seed), orderByScore(others, seed));
}

function interleaveZones<T>(own: readonly T[], others: readonly T[]): T[] {
  const merged: T[] = [];
  let fromOwn = 0;
  let fromOthers = 0;
  while (fromOwn < own.length || fromOthers < others.length) {
    merged.push(...own.slice(fromOwn, fromOwn + OWN_ZONE_SHARE));
    merged.push(...others.slice(fromOthers, fromOthers + OTHER_ZONES_SHARE));
    fromOwn += OWN_ZONE_SHARE;
    fromOthers += OTHER_ZONES_SHARE;
  }
  return merged;
}

function orderByScore<T extends Candidate>(agents: readonly T[], seed: number): T[] {
  const scored = agents.map((agent) => ({ agent, score: computeScore(agent.address, seed) }));
  scored.sort(
    (left, right) => right.score - left.score || left.agent.address - right.agent.address,
  );
  return scored.map(({ agent }) => agent);
}

/** Computes a 32-bit hash of an address and a flow's hash (the finalizer of MurmurHash3). */
export function computeScore(address: Endpoint, seed: number): number {
  let hash =
    seed ^ (address % WORD_RANGE) ^ Math.imul(Math.floor(address / WORD_RANGE), 0x9e3779b1);
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
