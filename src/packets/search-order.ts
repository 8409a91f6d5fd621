/** The order in which agents are searched for the holder of a flow. */
import type { Endpoint } from '../environment';
import { MAXIMUM_SEARCH_LENGTH } from './packet-messages';

/**
 * The agents in a ring that begins elsewhere for each client, so that the searches of many
 * flows spread. A search that had no outcome may have been stopped by one agent: the next
 * attempt goes the other way round, from the last one, and reaches those behind it. The
 * attempts after that begin one agent further on.
 * @param attempts searches for this flow before
 */
export function orderSearch(
  agents: readonly { readonly address: Endpoint }[],
  client: Endpoint,
  attempts: number,
): Endpoint[] {
  const isForward = attempts % 2 === 0;
  const begin = client + Math.floor(attempts / 2);
  const first = isForward ? begin : begin + agents.length - 1;
  const step = isForward ? 1 : agents.length - 1;
  const length = Math.min(agents.length, MAXIMUM_SEARCH_LENGTH);
  const order: Endpoint[] = [];
  for (let index = 0; index < length; index++) {
    order.push(agents[(first + index * step) % agents.length]!.address);
  }
  return order;
}
