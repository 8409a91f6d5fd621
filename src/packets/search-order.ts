/** The order in which a search for the holder of a flow visits agents. */
import type { Endpoint } from '../environment';
import { CANDIDATE_COUNT } from './flow-candidates';

/** Agents in the search order of a flow. */
export interface SearchOrder<T> {
  readonly agents: readonly T[];
  /** Number of agents at the head where the flow was most likely placed. */
  readonly likelyCount: number;
}

/**
 * Selects the agents that an attempt visits, in order. The first attempt visits only those where
 * the flow was most likely placed. One unresponsive agent may have stopped an attempt without
 * outcome: the next attempt runs in the reverse order, from the last agent, and reaches those
 * behind it. Each later pair of attempts starts one agent further on.
 * @param agents in the search order of the flow
 * @param attempts number of earlier attempts for this flow
 * @param maximum number of agents that an attempt after the first visits at most
 * @param likelyCount number of agents that the first attempt visits at most
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

/** Agents in a group; a search takes this many hops in each of two phases. */
export const GROUP_SIZE = 25;

/** Splits the agents of a round into groups that are searched in parallel. */
export function splitIntoGroups(agents: readonly Endpoint[]): Endpoint[][] {
  const groups: Endpoint[][] = [];
  for (let start = 0; start < agents.length; start += GROUP_SIZE) {
    groups.push(agents.slice(start, start + GROUP_SIZE));
  }
  return groups;
}
