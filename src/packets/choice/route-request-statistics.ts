/**
 * How many requests a flow of each route carries, as this balancer sees them pass.
 *
 * Flows that are open tell only what they have had so far, so flows are counted when they end, and
 * requests after the first as they come: a route whose flows stay open is known by the second request
 * of its first flows, long before any of them ends.
 */
import type { Endpoint } from '../../environment';
import type { FlowPacket } from '../flow-packet';
import { computeDistance } from '../repair/sequence-numbers';

/** Milliseconds in which the weight of what was seen falls to about a third. */
const DECAY_TIME_MS = 30_000;
/** Requests of a flow assumed of a route that has not been seen. */
const ASSUMED_REQUESTS = 2;
/** Ended flows in whose place that assumption stands. */
const ASSUMED_FLOWS = 5;
/** Below it a route's flows carry one request each, but for chance. */
const SINGLE_REQUEST_LIMIT = 1.2;
/** Beyond it a flow is kept for good, as far as its placement goes. */
const MAXIMUM_REQUESTS = 20;
/** Memories after which nothing is left of what was seen. */
const EXPIRY_DECAY_TIMES = 10;

/** The requests of one flow. */
export interface FlowRequestCount {
  requests: number;
  /** Sequence number of the latest one, to tell repeats; undefined before the first. */
  lastSequence: number | undefined;
  hasEnded: boolean;
}

/** Begins the count of a flow. */
export function createFlowRequestCount(): FlowRequestCount {
  return { requests: 0, lastSequence: undefined, hasEnded: false };
}

interface DecayingCounts {
  readonly endedFlows: number;
  /** Requests after the first of their flows. */
  readonly laterRequests: number;
  readonly at: number;
}

const NO_COUNTS: DecayingCounts = { endedFlows: 0, laterRequests: 0, at: 0 };

/** The routes of one balancer, by their destinations. */
export class RouteRequestStatistics {
  private readonly counts = new Map<Endpoint, DecayingCounts>();

  /** A client's packet of an open flow passes. */
  recordPacket(packet: FlowPacket, flow: FlowRequestCount, now: number): void {
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
  estimateRequestsPerFlow(destination: Endpoint, now: number): number {
    const { endedFlows, laterRequests } = this.getDecayedCounts(destination, now);
    const later = ASSUMED_FLOWS * (ASSUMED_REQUESTS - 1) + laterRequests;
    const requests = 1 + later / (ASSUMED_FLOWS + endedFlows);
    return requests < SINGLE_REQUEST_LIMIT ? 1 : Math.min(requests, MAXIMUM_REQUESTS);
  }

  /** Forgets routes without packets of late. */
  expire(now: number): void {
    for (const [destination, { at }] of this.counts) {
      if (now - at > DECAY_TIME_MS * EXPIRY_DECAY_TIMES) {
        this.counts.delete(destination);
      }
    }
  }

  private add(destination: Endpoint, ended: number, later: number, now: number): void {
    const { endedFlows, laterRequests } = this.getDecayedCounts(destination, now);
    this.counts.set(destination, {
      endedFlows: endedFlows + ended,
      laterRequests: laterRequests + later,
      at: now,
    });
  }

  private getDecayedCounts(destination: Endpoint, now: number): DecayingCounts {
    const { endedFlows, laterRequests, at } = this.counts.get(destination) ?? NO_COUNTS;
    const remainingShare = Math.exp((at - now) / DECAY_TIME_MS);
    return {
      endedFlows: endedFlows * remainingShare,
      laterRequests: laterRequests * remainingShare,
      at: now,
    };
  }
}

function completesRequest(packet: FlowPacket, { lastSequence }: FlowRequestCount): boolean {
  const { isFull, payloadLength, resets, sequence } = packet;
  const isNew = lastSequence === undefined || computeDistance(lastSequence, sequence) > 0;
  return payloadLength > 0 && !isFull && !resets && isNew;
}
