/**
 * Requests that wait at the agent while its target works on as many as it can.
 *
 * A target serves what it has in order. When more comes than it can do, its own queue makes
 * every request late, those that come last included. Here the order follows what
 * can still be answered in time: of those requests the one that has waited longest, and only when
 * there is none, the newest of the others (in the manner of adaptive LIFO; B. Maurer, "Fail at
 * Scale", ACM Queue 13/8, 2015). Nothing is given up on: what is late already comes when nothing
 * else waits, unless its client has left.
 */
import type { Endpoint } from '../environment';
import type { FlowKey, FlowPacket } from './flow-packet';

/** Requests that wait at once; the oldest is handed over out of turn beyond that. */
const MAXIMUM_WAITING = 2_000;
/** Milliseconds after the last copy of a packet at which its client has left: it repeats sooner. */
const CLIENT_PATIENCE = 2_500;

/** A request that waits. */
export interface WaitingRequest {
  readonly packet: FlowPacket;
  readonly balancer: Endpoint;
  /** The search that the packet belongs to; 0 for none. */
  readonly searchId: number;
  /** Time at which its first copy came. */
  readonly since: number;
  /** Time at which its latest copy came. */
  readonly seenAt: number;
}

/** Waiting requests of one target, in the order in which they came. */
export class RequestQueue {
  private readonly waiting = new Map<FlowKey, WaitingRequest>();

  get size(): number {
    return this.waiting.size;
  }

  /**
   * Adds a request, or a later copy of it, which keeps its place.
   * @returns the request that must not wait any longer since there are too many, if any
   */
  add(request: WaitingRequest): WaitingRequest | undefined {
    const { flow } = request.packet;
    const known = this.waiting.get(flow);
    const since = Math.min(request.since, known?.since ?? Infinity);
    this.waiting.set(flow, { ...request, since });
    return this.waiting.size > MAXIMUM_WAITING ? this.takeFirst() : undefined;
  }

  /** A request no longer waits: its flow has ended, or it was handed over. */
  remove(flow: FlowKey): void {
    this.waiting.delete(flow);
  }

  /**
   * Takes the request whose turn it is.
   * @param patience milliseconds of waiting after which a request is taken to be late
   */
  take(now: number, patience: number): WaitingRequest | undefined {
    let oldestInTime: WaitingRequest | undefined;
    let newest: WaitingRequest | undefined;
    for (const request of this.waiting.values()) {
      const isInTime = now - request.since <= patience;
      if (isInTime && (oldestInTime === undefined || request.since < oldestInTime.since)) {
        oldestInTime = request;
      }
      newest = newest === undefined || request.since >= newest.since ? request : newest;
    }
    const next = oldestInTime ?? newest;
    if (next) {
      this.waiting.delete(next.packet.flow);
    }
    return next;
  }

  /** Takes all, in the order in which they came. */
  takeAll(): WaitingRequest[] {
    const all = [...this.waiting.values()];
    this.waiting.clear();
    return all;
  }

  /** Drops requests whose clients have left. */
  expire(now: number): void {
    for (const [flow, { seenAt }] of this.waiting) {
      if (now - seenAt > CLIENT_PATIENCE) {
        this.waiting.delete(flow);
      }
    }
  }

  private takeFirst(): WaitingRequest | undefined {
    const [first] = this.waiting.values();
    this.waiting.delete(first!.packet.flow);
    return first;
  }
}
