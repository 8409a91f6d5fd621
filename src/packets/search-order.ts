/** The order in which agents are searched for the holder of a flow. */
import type { Endpoint } from '../environment';
import { CANDIDATE_COUNT } from './flow-candidates';

/** Agents in the order that belongs to a flow's search. */
export interface SearchOrder<T> {
  readonly agents: readonly T[];
  /** So many of the first are where the flow was placed in all likelihood. */
  readonly likelyCount: number;
}

/**
 * Those of some agents that a search visits, in order. The first one goes only through those
 * where the flow was placed in all likelihood. A search that had no outcome may have been
 * stopped by one agent: the next attempt goes the other way round, from the last one, and
 * reaches those behind it. The attempts after that begin one agent further on.
 * @param agents in the order that belongs to the flow
 * @param attempts searches for this flow before
 * @param maximum agents that a search after the first visits at most
 * @param likelyCount agents that the first one visits at most
 */
export function orderSearch(
  agents: readonly { readonly address: Endpoint }[],
  attempts: number,
  maximum: number,
  likelyCount = CANDIDATE_COUNT,
): Endpoint[] {
  const isForward = attempts % 2 === 0;
  const begin = Math.floor(attempts / 2);
  const first = isForward ? begin : begin + agents.length - 1;
  const step = isForward ? 1 : agents.length - 1;
  const length = Math.min(agents.length, attempts === 0 ? likelyCount : maximum);
  const order: Endpoint[] = [];
  for (let index = 0; index < length; index++) {
    order.push(agents[(first + index * step) % agents.length]!.address);
  }
  return order;
}

/** Agents of one group: its search is as long as that many hops, twice. */
export const GROUP_SIZE = 25;

/** The agents of a round in groups that are searched at the same time. */
export function splitIntoGroups(agents: readonly Endpoint[]): Endpoint[][] {
  const groups: Endpoint[][] = [];
  for (let start = 0; start < agents.length; start += GROUP_SIZE) {
    groups.push(agents.slice(start, start + GROUP_SIZE));
  }
  return groups;
}
