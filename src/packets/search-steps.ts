/** How a search goes on from an agent that does not hold the flow. */
import type { Endpoint } from '../environment';
import {
  PacketMessageType,
  SearchPhase,
  type NoneHoldsMessage,
  type NoneKnowsMessage,
  type SearchMessage,
} from './packet-messages';

/** What comes after one agent of a search. */
export type SearchStep =
  | { readonly kind: 'next'; readonly agent: Endpoint; readonly message: SearchMessage }
  | {
      readonly kind: 'over';
      readonly balancer: Endpoint;
      readonly message: NoneHoldsMessage | NoneKnowsMessage;
    };

/**
 * The step after an agent that did not take the packet: the next agent of the phase, the
 * first one of the next phase, or the answer to the balancer after the last one.
 */
export function determineNextStep(search: SearchMessage): SearchStep {
  const { agents, balancer, payload, searchId } = search;
  const following = search.position + 1;
  if (following < agents.length) {
    return createNextStep({ ...search, position: following });
  }
  switch (search.phase) {
    case SearchPhase.query:
      return createNextStep({ ...search, phase: SearchPhase.offer, position: 0 });
    case SearchPhase.queryOnly:
      return {
        kind: 'over',
        balancer,
        message: { type: PacketMessageType.noneKnows, searchId, agents, payload },
      };
    case SearchPhase.offer:
    case SearchPhase.conclusive:
      return {
        kind: 'over',
        balancer,
        message: { type: PacketMessageType.noneHolds, searchId, agents, payload },
      };
  }
}

function createNextStep(message: SearchMessage): SearchStep {
  return { kind: 'next', agent: message.agents[message.position]!, message };
}
