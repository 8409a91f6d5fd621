/** Limits the concurrent requests of a target; the agent queues the rest. */
import type { Endpoint } from '../environment';
import type { FlowPacket } from './flow-packet';
import type { FlowTracker } from './flow-tracker';
import { RequestQueue, type WaitingRequest } from './queue/request-queue';
import { ServiceTimeEstimator } from './service-time-estimator';
import type { TargetLifecycle } from './target-lifecycle';
import { UNKNOWN_TERMS, type RouteTerms } from './terms/route-terms';

/**
 * Requests that may be queued at the target, as a share of its slots, so that it stays busy during
 * a short pause of its agent.
 */
const QUEUED_SLOT_SHARE = 0.5;
/**
 * Slots assumed for a target that has not reported them, as balancers do: targets process a few
 * requests, queue a few more and reject the rest.
 */
const DEFAULT_SLOTS = 4;

/** Dependencies of the admission. */
export interface TargetAdmissionDependencies {
  readonly target: TargetLifecycle;
  readonly tracker: FlowTracker;
  /** Percentage of turns that each lower priority keeps while requests of a higher one wait. */
  readonly lowerShare: number;
  /** Latency goal from a request to its answer in milliseconds; 0 while unknown. */
  getLatencyGoal(): number;
  /** Terms that the callers of a route expect; undefined while unknown. */
  getTerms(destination: Endpoint): RouteTerms | undefined;
  /** Forwards a packet to the target. */
  deliver(packet: FlowPacket, balancer: Endpoint, searchId: number): void;
}

/** Admission of one target. */
export class TargetAdmission {
  private readonly queue: RequestQueue;
  private readonly serviceTime = new ServiceTimeEstimator();

  constructor(private readonly dependencies: TargetAdmissionDependencies) {
    this.queue = new RequestQueue(dependencies.lowerShare);
  }

  /** Requests queued here. */
  get waitingRequests(): number {
    return this.queue.size;
  }

  /**
   * Forwards a packet to the target, or queues its request while the target is at its limit.
   * @returns whether it was queued
   */
  admit(packet: FlowPacket, balancer: Endpoint, searchId: number, now: number): boolean {
    const { deliver: handOver, tracker } = this.dependencies;
    if (!this.hasCapacity && tracker.completesRequest(packet)) {
      const terms = this.getTermsOrDefault(packet);
      const times = { since: now, seenAt: now };
      this.release(this.queue.add({ packet, balancer, searchId, terms, ...times }));
      return true;
    }
    if (packet.payloadLength > 0 || packet.resets || packet.ends) {
      this.queue.remove(packet.flow);
    }
    handOver(packet, balancer, searchId);
    return false;
  }

  /** Recent answer time of the target in milliseconds, including requests in flight. */
  computeAnswerTime(now: number): number {
    return this.serviceTime.computeExpectedTime(
      this.dependencies.tracker.getLongestServiceTime(now),
      now,
    );
  }

  /** Number of recent answers behind this time, with exponential decay. */
  countRecentAnswers(now: number): number {
    return this.serviceTime.countRecentAnswers(now);
  }

  /** Records a successful answer and its service time in milliseconds. */
  recordAnswer(milliseconds: number, now: number): void {
    this.serviceTime.recordAnswer(milliseconds, now);
  }

  /** Forwards all queued requests to a new target and discards the statistics of the old one. */
  handleTargetReplaced(): void {
    this.serviceTime.clear();
    this.releaseAll();
  }

  /** Drops the queued request of a flow whose packet the target rejected: it cannot be served. */
  dropReturnedRequest(packet: FlowPacket): void {
    this.queue.remove(packet.flow);
  }

  /** Forwards queued requests while the target has capacity. */
  releaseWaiting(now: number): void {
    while (this.queue.size > 0 && this.hasCapacity) {
      const next = this.queue.take(now, (terms) => this.computeWaitLimit(terms));
      if (!next) {
        return;
      }
      this.release(next);
    }
  }

  /** Forwards all queued requests, because the target was replaced or this agent stops. */
  releaseAll(): void {
    this.queue.takeAll().forEach((request) => this.release(request));
  }

  /** Removes and returns all queued requests, for a target that cannot serve them. */
  takeAll(): WaitingRequest[] {
    return this.queue.takeAll();
  }

  /**
   * Drops requests whose clients have left or whose callers have timed out.
   * @returns the dropped requests
   */
  expire(now: number): WaitingRequest[] {
    return this.queue.expire(now);
  }

  /** The priority of a packet's route; undefined while unknown. */
  getPriority({ destination }: FlowPacket): number | undefined {
    return this.dependencies.getTerms(destination)?.priority;
  }

  private getTermsOrDefault({ destination }: FlowPacket): RouteTerms {
    return this.dependencies.getTerms(destination) ?? UNKNOWN_TERMS;
  }

  /** Milliseconds of queueing after which a request with the given terms is late. */
  private computeWaitLimit({ latencyGoal }: RouteTerms): number {
    const goal = latencyGoal || this.dependencies.getLatencyGoal();
    return goal > 0 ? this.serviceTime.computeWaitLimit(goal) : this.serviceTime.defaultWaitLimit;
  }

  /** Whether the target would soon start another request. */
  private get hasCapacity(): boolean {
    const { target, tracker } = this.dependencies;
    const slots = target.slots || DEFAULT_SLOTS;
    const limit = slots + Math.ceil(slots * QUEUED_SLOT_SHARE);
    return tracker.workingRequests < limit;
  }

  private release(request: WaitingRequest | undefined): void {
    if (request) {
      const { packet, balancer, searchId } = request;
      this.dependencies.deliver(packet, balancer, searchId);
    }
  }
}
