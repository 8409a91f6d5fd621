/** The next step of a search after an agent that does not hold the flow. */
import type { Endpoint } from '../environment';
import {
  PacketMessageType,
  SearchPhase,
  type NoneHoldsMessage,
  type NoneKnowsMessage,
  type SearchMessage,
} from './packet-messages';

/** The next agent of a search, or its outcome for the balancer. */
export type SearchStep =
  | { readonly kind: 'next'; readonly agent: Endpoint; readonly message: SearchMessage }
  | {
      readonly kind: 'over';
      readonly balancer: Endpoint;
      readonly message: NoneHoldsMessage | NoneKnowsMessage;
    };

/**
 * Determines the step after an agent that did not take the packet: the next agent of the phase,
 * the first agent of the next phase, or, after the last agent, the outcome for the balancer.
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
