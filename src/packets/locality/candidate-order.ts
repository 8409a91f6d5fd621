/**
 * Per-flow orders of agents: one for placement, in which the balancer's zone comes first, and one
 * for the search for the flow's holder, which is the same at every balancer.
 *
 * In both, agents of one zone are ranked by the same scores (rendezvous hashing), so that the few
 * agents of a zone where a flow may have been placed come first of that zone in the search.
 */
import { hashText } from '../../core/hashing';
import { CANDIDATE_COUNT, computeScore, type Candidate } from '../flow-candidates';
import type { FlowKey } from '../flow-packet';
import { GROUP_SIZE, type SearchOrder } from '../search-order';

/**
 * Candidates taken from the home zone; the others come from the other zones. With a quarter of all
 * slots busy, all seven are busy for one flow in sixteen thousand.
 */
export const HOME_CANDIDATES = 7;
/** Range of an agent's index; a double holds it and a 32-bit score exactly. */
const INDEX_RANGE = 2 ** 20;

/** Returns the round trip to a zone in milliseconds. */
export type DistanceLookup = (zone: string) => number;

/** An agent's properties that determine the order of a search. */
export interface SearchCandidate extends Candidate {
  readonly service: string;
}

/** Agents by zone; within a zone in descending order of their scores for a flow. */
type AgentsByZone<T> = ReadonlyMap<string, readonly T[]>;

/**
 * All agents in the order for placing a flow: the first few of the home zone, then the other zones
 * in turn, nearest first, until there are {@link CANDIDATE_COUNT}; then the rest of the home zone,
 * and all others. A home zone with few agents leaves more candidates to other zones.
 */
export function orderForPlacement<T extends Candidate>(
  flow: FlowKey,
  agents: readonly T[],
  home: string,
  getDistance: DistanceLookup,
): T[] {
  const seed = hashText(flow);
  const byZone = groupByScore(seed, agents);
  const own = byZone.get(home) ?? [];
  const zones = orderZones(seed, byZone).filter((zone) => zone !== home);
  // Whole milliseconds, so that zones that differ by less alternate by the flow's hash.
  const nearestFirst = zones.map((zone) => ({ zone, distance: Math.round(getDistance(zone)) }));
  nearestFirst.sort((one, other) => one.distance - other.distance);
  const others = interleave(nearestFirst.map(({ zone }) => byZone.get(zone)!));
  const first = own.slice(0, HOME_CANDIDATES);
  const otherCount = CANDIDATE_COUNT - first.length;
  return first.concat(
    others.slice(0, otherCount),
    own.slice(HOME_CANDIDATES),
    others.slice(otherCount),
  );
}

/**
 * All agents in the order for the search for a flow's holder: the likely ones zone by zone, so that
 * a search enters each zone only once, then the rest. The first search visits all likely agents:
 * the first few of each service, since a flow is placed among the agents of one service.
 */
export function orderForSearch<T extends SearchCandidate>(
  flow: FlowKey,
  agents: readonly T[],
): SearchOrder<T> {
  const seed = hashText(flow);
  const byZone = groupByScore(seed, agents);
  const zones = orderZones(seed, byZone).map((zone) => byZone.get(zone)!);
  const perService = computeLikelyPerService(zones.length, countServices(agents));
  const likely: T[] = [];
  const rest: T[] = [];
  for (const zone of zones) {
    splitLikely(zone, perService, likely, rest);
  }
  return { agents: likely.concat(rest), likelyCount: Math.min(likely.length, GROUP_SIZE) };
}

function countServices(agents: readonly SearchCandidate[]): number {
  const services = new Set<string>();
  for (const { service } of agents) {
    services.add(service);
  }
  return services.size;
}

/** Likely agents per service and zone: all candidates of a single zone, fewer in each of many. */
function computeLikelyPerService(zones: number, services: number): number {
  const wanted = zones <= 1 ? CANDIDATE_COUNT : HOME_CANDIDATES;
  return Math.max(1, Math.min(wanted, Math.floor(GROUP_SIZE / (zones * services))));
}

/** Adds the first `perService` agents of each service to `likely` and the others to `rest`. */
function splitLikely<T extends SearchCandidate>(
  agents: readonly T[],
  perService: number,
  likely: T[],
  rest: T[],
): void {
  const countByService = new Map<string, number>();
  for (const agent of agents) {
    const rank = countByService.get(agent.service) ?? 0;
    if (rank < perService) {
      countByService.set(agent.service, rank + 1);
      likely.push(agent);
    } else {
      rest.push(agent);
    }
  }
}

/** The zones by name, rotated by the flow's hash. */
function orderZones<T>(seed: number, byZone: AgentsByZone<T>): string[] {
  const names = [...byZone.keys()].sort();
  const start = names.length > 0 ? seed % names.length : 0;
  return [...names.slice(start), ...names.slice(0, start)];
}

/** Sorts numbers that combine score and index, which avoids a comparator and repeated scoring. */
function groupByScore<T extends Candidate>(seed: number, agents: readonly T[]): AgentsByZone<T> {
  const keys = new Float64Array(agents.length);
  for (let index = 0; index < agents.length; index++) {
    keys[index] = computeScore(agents[index]!.address, seed) * INDEX_RANGE + index;
  }
  keys.sort();
  const byZone = new Map<string, T[]>();
  for (let rank = keys.length - 1; rank >= 0; rank--) {
    const agent = agents[keys[rank]! % INDEX_RANGE]!;
    const group = byZone.get(agent.zone);
    if (group) {
      group.push(agent);
    } else {
      byZone.set(agent.zone, [agent]);
    }
  }
  return byZone;
}

/** The first of each group, then the second of each, and so on. */
function interleave<T>(groups: readonly (readonly T[])[]): T[] {
  const interleaved: T[] = [];
  let isExhausted = false;
  for (let index = 0; !isExhausted; index++) {
    isExhausted = true;
    for (const group of groups) {
      if (index < group.length) {
        interleaved.push(group[index]!);
        isExhausted = false;
      }
    }
  }
  return interleaved;
}
