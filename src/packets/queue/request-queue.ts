/**
 * Requests that wait at the agent while its target works on as many as it can.
 *
 * A target serves what it has in order. When more comes than it can do, its own queue makes
 * every request late, the urgent ones and those that come last included. Here the more urgent
 * priority goes first, and within one the order follows what can still be answered in time. What is
 * late already comes when nothing else waits, unless its client has left or its caller has given up.
 */
import type { Endpoint } from '../../environment';
import type { FlowKey, FlowPacket } from '../flow-packet';
import type { RouteTerms } from '../terms/route-terms';
import { PriorityShares } from './priority-shares';
import { selectNext, isPastDeadline, type QueuedRequest } from './request-order';

/** Requests that wait at once; the oldest is handed over out of turn beyond that. */
const MAXIMUM_WAITING = 2_000;
/** Milliseconds after the last copy of a packet at which its client has left: it repeats sooner. */
const CLIENT_TIMEOUT_MS = 2_500;

/** A request that waits. */
export interface WaitingRequest {
  readonly packet: FlowPacket;
  readonly balancer: Endpoint;
  /** The search that the packet belongs to; 0 for none. */
  readonly searchId: number;
  readonly terms: RouteTerms;
  /** Time at which its first copy came. */
  readonly since: number;
  /** Time at which its latest copy came. */
  readonly seenAt: number;
}

/** A waiting request as the order of turns sees it. */
interface SchedulableRequest extends QueuedRequest {
  readonly request: WaitingRequest;
}

/** Milliseconds of waiting after which a request of some terms is taken to be late. */
export type WaitLimitReader = (terms: RouteTerms) => number;

/** Waiting requests of one target, in the order in which they came. */
export class RequestQueue {
  private readonly waiting = new Map<FlowKey, WaitingRequest>();
  private readonly shares: PriorityShares;

  /** @param lowerShare turns in a hundred that each lower priority keeps */
  constructor(lowerShare: number) {
    this.shares = new PriorityShares(lowerShare);
  }

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
    return this.waiting.size > MAXIMUM_WAITING ? this.takeOldest() : undefined;
  }

  /** A request no longer waits: its flow has ended, or it was handed over. */
  remove(flow: FlowKey): void {
    this.waiting.delete(flow);
  }

  /** Takes the request whose turn it is; one that its caller has given up on has none. */
  take(now: number, getWaitLimit: WaitLimitReader): WaitingRequest | undefined {
    const requestsByPriority = this.groupByPriority(now, getWaitLimit);
    if (requestsByPriority.size === 0) {
      return undefined;
    }
    const priorities = [...requestsByPriority.keys()].sort((one, other) => one - other);
    const candidates = requestsByPriority.get(this.shares.selectPriority(priorities))!;
    const { request } = selectNext(candidates, now)!;
    this.waiting.delete(request.packet.flow);
    return request;
  }

  /** Takes all, in the order in which they came. */
  takeAll(): WaitingRequest[] {
    const all = [...this.waiting.values()];
    this.waiting.clear();
    return all;
  }

  /**
   * Drops requests whose clients have left or whose callers have given up.
   * @returns those dropped
   */
  expire(now: number): WaitingRequest[] {
    const dropped: WaitingRequest[] = [];
    for (const [flow, request] of this.waiting) {
      const { seenAt, since, terms } = request;
      const hasLeft = now - seenAt > CLIENT_TIMEOUT_MS;
      if (hasLeft || isPastDeadline({ since, deadline: terms.deadline, patience: 0 }, now)) {
        this.waiting.delete(flow);
        dropped.push(request);
      }
    }
    return dropped;
  }

  private groupByPriority(
    now: number,
    getWaitLimit: WaitLimitReader,
  ): Map<number, SchedulableRequest[]> {
    const requestsByPriority = new Map<number, SchedulableRequest[]>();
    for (const request of this.waiting.values()) {
      const { since, terms } = request;
      const schedulable = {
        request,
        since,
        deadline: terms.deadline,
        patience: getWaitLimit(terms),
      };
      if (isPastDeadline(schedulable, now)) {
        continue;
      }
      const samePriority = requestsByPriority.get(terms.priority);
      if (samePriority) {
        samePriority.push(schedulable);
      } else {
        requestsByPriority.set(terms.priority, [schedulable]);
      }
    }
    return requestsByPriority;
  }

  private takeOldest(): WaitingRequest | undefined {
    const [oldest] = this.waiting.values();
    this.waiting.delete(oldest!.packet.flow);
    return oldest;
  }
}
