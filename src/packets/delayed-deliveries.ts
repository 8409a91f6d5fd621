/**
 * Packets for agents that are away for a moment, kept so that they reach the target as
 * soon as the agent is back instead of with the client's next copy. Bounded in number
 * and age; what is dropped here the client repeats anyway.
 */
import type { Endpoint } from '../environment';
import type { FlowKey } from './flow-packet';
import type { DeliverMessage, SearchMessage } from './packet-messages';

/** A message that brings an agent a client's packet. */
export type DelayableMessage = DeliverMessage | SearchMessage;

const MAXIMUM_PER_AGENT = 256;
/** Milliseconds: clients repeat at the latest after so long. */
const MAXIMUM_AGE_MS = 1_600;

interface DelayedDelivery {
  readonly flow: FlowKey;
  readonly message: DelayableMessage;
  readonly since: number;
}

/** Packets by the agent they wait for. */
export class DelayedDeliveries {
  private readonly waiting = new Map<Endpoint, DelayedDelivery[]>();

  /** Keeps a packet; the oldest one of the agent is dropped when there are too many. */
  add(agent: Endpoint, flow: FlowKey, message: DelayableMessage, now: number): void {
    const list = this.waiting.get(agent) ?? [];
    this.waiting.set(agent, list);
    list.push({ flow, message, since: now });
    if (list.length > MAXIMUM_PER_AGENT) {
      list.shift();
    }
  }

  /** Drops what waits of a flow that an agent does not hold. */
  removeFlow(agent: Endpoint, flow: FlowKey): void {
    const list = this.waiting.get(agent);
    if (list) {
      this.waiting.set(
        agent,
        list.filter((one) => one.flow !== flow),
      );
    }
  }

  /** Takes out what waits for an agent and is not too old. */
  take(agent: Endpoint, now: number): DelayableMessage[] {
    const list = this.waiting.get(agent) ?? [];
    this.waiting.delete(agent);
    return list.filter(({ since }) => now - since <= MAXIMUM_AGE_MS).map(({ message }) => message);
  }

  /** Drops what is too old. */
  expire(now: number): void {
    for (const [agent, list] of this.waiting) {
      const newest = list.at(-1);
      if (!newest || now - newest.since > MAXIMUM_AGE_MS) {
        this.waiting.delete(agent);
      }
    }
  }
}
