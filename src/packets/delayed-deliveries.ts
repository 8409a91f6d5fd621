/**
 * Packets for agents that are briefly unresponsive, retained so that they reach the target as soon
 * as the agent reports again instead of with the client's next retransmission. Bounded in number
 * and age; the client retransmits dropped packets anyway.
 */
import type { Endpoint } from '../environment';
import type { FlowKey } from './flow-packet';
import type { DeliverMessage, SearchMessage } from './packet-messages';

/** A message that carries a client's packet to an agent. */
export type DelayableMessage = DeliverMessage | SearchMessage;

const MAXIMUM_PER_AGENT = 256;
/** Maximum age of a retained packet: clients retransmit within this time. */
const MAXIMUM_AGE_MS = 1_600;

interface DelayedDelivery {
  readonly flow: FlowKey;
  readonly message: DelayableMessage;
  readonly since: number;
}

/** Delayed packets by agent. */
export class DelayedDeliveries {
  private readonly waiting = new Map<Endpoint, DelayedDelivery[]>();

  /** Retains a packet; drops the oldest one of the agent beyond the limit. */
  add(agent: Endpoint, flow: FlowKey, message: DelayableMessage, now: number): void {
    const list = this.waiting.get(agent) ?? [];
    this.waiting.set(agent, list);
    list.push({ flow, message, since: now });
    if (list.length > MAXIMUM_PER_AGENT) {
      list.shift();
    }
  }

  /** Drops the packets of a flow that an agent does not hold. */
  removeFlow(agent: Endpoint, flow: FlowKey): void {
    const list = this.waiting.get(agent);
    if (list) {
      this.waiting.set(
        agent,
        list.filter((delivery) => delivery.flow !== flow),
      );
    }
  }

  /** Removes the packets of an agent and returns those that have not expired. */
  take(agent: Endpoint, now: number): DelayableMessage[] {
    const list = this.waiting.get(agent) ?? [];
    this.waiting.delete(agent);
    return list.filter(({ since }) => now - since <= MAXIMUM_AGE_MS).map(({ message }) => message);
  }

  /** Removes the packets of agents whose newest one has expired. */
  expire(now: number): void {
    for (const [agent, list] of this.waiting) {
      const newest = list.at(-1);
      if (!newest || now - newest.since > MAXIMUM_AGE_MS) {
        this.waiting.delete(agent);
      }
    }
  }
}
