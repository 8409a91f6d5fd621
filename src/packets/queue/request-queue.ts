/**
 * Queues requests at the agent while its target is at its concurrency limit.
 *
 * A target serves its requests in order, so under overload its own queue delays all of them, the
 * urgent and the latest ones included. Here the more urgent priority goes first, and within one the
 * order follows what can still be answered in time. Late requests are served when nothing else
 * waits, unless their client has left or their caller's deadline has passed.
 */
import type { Endpoint } from '../../environment';
import type { FlowKey, FlowPacket } from '../flow-packet';
import type { RouteTerms } from '../terms/route-terms';
import { PriorityShares } from './priority-shares';
import { selectNext, isPastDeadline, type QueuedRequest } from './request-order';

/** Maximum number of waiting requests; beyond it the oldest is delivered out of order. */
const MAXIMUM_WAITING = 2_000;
/** Silence after which a client counts as gone: it would have retransmitted by then. */
const CLIENT_TIMEOUT_MS = 2_500;

/** A waiting request. */
export interface WaitingRequest {
  readonly packet: FlowPacket;
  readonly balancer: Endpoint;
  /** The search that the packet belongs to; 0 for none. */
  readonly searchId: number;
  readonly terms: RouteTerms;
  /** Arrival time of its first transmission. */
  readonly since: number;
  /** Arrival time of its latest transmission. */
  readonly seenAt: number;
}

/** A waiting request with its scheduling parameters. */
interface SchedulableRequest extends QueuedRequest {
  readonly request: WaitingRequest;
}

/** Returns the milliseconds of waiting after which a request of some terms counts as late. */
export type WaitLimitReader = (terms: RouteTerms) => number;

/** Waiting requests of one target, in order of arrival. */
export class RequestQueue {
  private readonly waiting = new Map<FlowKey, WaitingRequest>();
  private readonly shares: PriorityShares;

  /** @param lowerShare percentage of turns guaranteed to each lower priority */
  constructor(lowerShare: number) {
    this.shares = new PriorityShares(lowerShare);
  }

  get size(): number {
    return this.waiting.size;
  }

  /**
   * Adds a request, or a retransmission of it, which keeps its position.
   * @returns the request to deliver now because the queue is full, if any
   */
  add(request: WaitingRequest): WaitingRequest | undefined {
    const { flow } = request.packet;
    const known = this.waiting.get(flow);
    const since = Math.min(request.since, known?.since ?? Infinity);
    this.waiting.set(flow, { ...request, since });
    return this.waiting.size > MAXIMUM_WAITING ? this.takeOldest() : undefined;
  }

  /** Removes a request whose flow has ended or that was delivered. */
  remove(flow: FlowKey): void {
    this.waiting.delete(flow);
  }

  /** Takes the next request to serve; those past their deadline are skipped. */
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

  /** Takes all requests, in order of arrival. */
  takeAll(): WaitingRequest[] {
    const all = [...this.waiting.values()];
    this.waiting.clear();
    return all;
  }

  /**
   * Drops requests whose clients have left or whose callers' deadlines have passed.
   * @returns the dropped requests
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
