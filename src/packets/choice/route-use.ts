/**
 * How many requests a flow of each route carries, as this balancer sees them pass.
 *
 * Flows that are open tell only what they have had so far, so flows are counted when they end, and
 * requests after the first as they come: a route whose flows stay open is known by the second request
 * of its first flows, long before any of them ends.
 */
import type { Endpoint } from '../../environment';
import type { FlowPacket } from '../flow-packet';
import { measureDistance } from '../repair/sequence-numbers';

/** Milliseconds in which the weight of what was seen falls to about a third. */
const MEMORY = 30_000;
/** Requests of a flow assumed of a route that has not been seen. */
const ASSUMED_REQUESTS = 2;
/** Ended flows in whose place that assumption stands. */
const ASSUMED_FLOWS = 5;
/** Below it a route's flows carry one request each, but for chance. */
const SINGLE_REQUEST = 1.2;
/** Beyond it a flow is kept for good, as far as its placement goes. */
const MOST_REQUESTS = 20;
/** Memories after which nothing is left of what was seen. */
const MEMORIES_KEPT = 10;

/** The requests of one flow. */
export interface FlowUse {
  requests: number;
  /** Sequence number of the latest one, to tell repeats; undefined before the first. */
  lastSequence: number | undefined;
  hasEnded: boolean;
}

/** Begins the count of a flow. */
export function createFlowUse(): FlowUse {
  return { requests: 0, lastSequence: undefined, hasEnded: false };
}

interface FadingUse {
  readonly endedFlows: number;
  /** Requests after the first of their flows. */
  readonly laterRequests: number;
  readonly at: number;
}

const UNSEEN: FadingUse = { endedFlows: 0, laterRequests: 0, at: 0 };

/** The routes of one balancer, by their destinations. */
export class RouteUse {
  private readonly uses = new Map<Endpoint, FadingUse>();

  /** A client's packet of an open flow passes. */
  note(packet: FlowPacket, flow: FlowUse, now: number): void {
    if (completesRequest(packet, flow)) {
      flow.requests++;
      flow.lastSequence = packet.sequence;
      this.add(packet.destination, 0, flow.requests > 1 ? 1 : 0, now);
    }
    if ((packet.ends || packet.resets) && !flow.hasEnded && flow.requests > 0) {
      flow.hasEnded = true;
      this.add(packet.destination, 1, 0, now);
    }
  }

  /** Requests that a flow of a route carries in the mean; 1 where flows are opened for each. */
  requestsPerFlow(destination: Endpoint, now: number): number {
    const { endedFlows, laterRequests } = this.usedOf(destination, now);
    const later = ASSUMED_FLOWS * (ASSUMED_REQUESTS - 1) + laterRequests;
    const requests = 1 + later / (ASSUMED_FLOWS + endedFlows);
    return requests < SINGLE_REQUEST ? 1 : Math.min(requests, MOST_REQUESTS);
  }

  /** Forgets routes without packets of late. */
  expire(now: number): void {
    for (const [destination, { at }] of this.uses) {
      if (now - at > MEMORY * MEMORIES_KEPT) {
        this.uses.delete(destination);
      }
    }
  }

  private add(destination: Endpoint, ended: number, later: number, now: number): void {
    const { endedFlows, laterRequests } = this.usedOf(destination, now);
    this.uses.set(destination, {
      endedFlows: endedFlows + ended,
      laterRequests: laterRequests + later,
      at: now,
    });
  }

  private usedOf(destination: Endpoint, now: number): FadingUse {
    const { endedFlows, laterRequests, at } = this.uses.get(destination) ?? UNSEEN;
    const left = Math.exp((at - now) / MEMORY);
    return { endedFlows: endedFlows * left, laterRequests: laterRequests * left, at: now };
  }
}

function completesRequest(packet: FlowPacket, { lastSequence }: FlowUse): boolean {
  const { isFull, payloadLength, resets, sequence } = packet;
  const isNew = lastSequence === undefined || measureDistance(lastSequence, sequence) > 0;
  return payloadLength > 0 && !isFull && !resets && isNew;
}
