/**
 * Estimates the requests per flow of each route from the packets that pass this balancer.
 *
 * An open flow shows only the requests it has had so far, so flows are counted when they end, and
 * requests after the first as they arrive. A route of persistent flows is thus recognized by the
 * second request of its first flows, long before any of them ends.
 */
import type { Endpoint } from '../../environment';
import type { FlowPacket } from '../flow-packet';
import { computeDistance } from '../repair/sequence-numbers';

/** Time in which the weight of an observation decays to about a third. */
const DECAY_TIME_MS = 30_000;
/** Prior estimate of requests per flow. */
const ASSUMED_REQUESTS = 2;
/** Weight of the prior estimate, in ended flows. */
const ASSUMED_FLOWS = 5;
/** Below it a route has one request per flow; the rest is noise. */
const SINGLE_REQUEST_LIMIT = 1.2;
/** Upper bound; beyond it a flow is placed as a permanent one. */
const MAXIMUM_REQUESTS = 20;
/** Decay times after which a route without packets is forgotten. */
const EXPIRY_DECAY_TIMES = 10;

/** Request count of one flow. */
export interface FlowRequestCount {
  requests: number;
  /** Sequence number of the latest one, to detect retransmissions; undefined before the first. */
  lastSequence: number | undefined;
  hasEnded: boolean;
}

/** Creates the count of a new flow. */
export function createFlowRequestCount(): FlowRequestCount {
  return { requests: 0, lastSequence: undefined, hasEnded: false };
}

interface DecayingCounts {
  readonly endedFlows: number;
  /** Requests other than the first of their flow. */
  readonly laterRequests: number;
  readonly at: number;
}

const NO_COUNTS: DecayingCounts = { endedFlows: 0, laterRequests: 0, at: 0 };

/** Request statistics of one balancer, by the route's destination. */
export class RouteRequestStatistics {
  private readonly counts = new Map<Endpoint, DecayingCounts>();

  /** Records a client's packet of an open flow. */
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

  /** Mean number of requests per flow of a route; 1 where each request opens a flow. */
  estimateRequestsPerFlow(destination: Endpoint, now: number): number {
    const { endedFlows, laterRequests } = this.getDecayedCounts(destination, now);
    const later = ASSUMED_FLOWS * (ASSUMED_REQUESTS - 1) + laterRequests;
    const requests = 1 + later / (ASSUMED_FLOWS + endedFlows);
    return requests < SINGLE_REQUEST_LIMIT ? 1 : Math.min(requests, MAXIMUM_REQUESTS);
  }

  /** Drops routes without recent packets. */
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
