/** How many requests a target has at a time: the agent's side of its queue. */
import type { Endpoint } from '../environment';
import type { FlowPacket } from './flow-packet';
import type { FlowTracker } from './flow-tracker';
import { RequestQueue, type WaitingRequest } from './queue/request-queue';
import { ServiceTimeEstimator } from './service-time-estimator';
import type { TargetLifecycle } from './target-lifecycle';
import { UNKNOWN_TERMS, type RouteTerms } from './terms/route-terms';

/**
 * Part of its slots that a target may have waiting, so that it goes on working while its agent
 * is held up for a moment.
 */
const QUEUED_SLOT_SHARE = 0.5;
/**
 * Slots assumed of a target that has not told them, as balancers do: targets work on a few requests
 * and queue a few more, and turn away what comes beyond that.
 */
const DEFAULT_SLOTS = 4;

/** What the admission works with. */
export interface TargetAdmissionDependencies {
  readonly target: TargetLifecycle;
  readonly tracker: FlowTracker;
  /** Turns in a hundred that each lower priority keeps where more urgent requests wait as well. */
  readonly lowerShare: number;
  /** Milliseconds from a request to its answer that are aimed at; 0 while unknown. */
  getLatencyGoal(): number;
  /** What the callers of a route expect; undefined while unknown. */
  getTerms(destination: Endpoint): RouteTerms | undefined;
  /** Hands a packet to the target. */
  handOver(packet: FlowPacket, balancer: Endpoint, searchId: number): void;
}

/** Admission of one target. */
export class TargetAdmission {
  private readonly queue: RequestQueue;
  private readonly serviceTime = new ServiceTimeEstimator();

  constructor(private readonly dependencies: TargetAdmissionDependencies) {
    this.queue = new RequestQueue(dependencies.lowerShare);
  }

  /** Requests that wait here. */
  get waitingRequests(): number {
    return this.queue.size;
  }

  /**
   * Hands a packet to the target, or lets its request wait while the target is at its limit.
   * @returns whether it waits
   */
  admit(packet: FlowPacket, balancer: Endpoint, searchId: number, now: number): boolean {
    const { handOver, tracker } = this.dependencies;
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

  /** Milliseconds that the target takes for an answer of late, by what is under way as well. */
  computeAnswerTime(now: number): number {
    return this.serviceTime.computeExpectedTime(
      this.dependencies.tracker.getLongestServiceTime(now),
      now,
    );
  }

  /** Answers of late that this time rests on, fading. */
  countRecentAnswers(now: number): number {
    return this.serviceTime.countRecentAnswers(now);
  }

  /** The target has answered a request well, by so many milliseconds of work. */
  recordAnswer(milliseconds: number, now: number): void {
    this.serviceTime.recordAnswer(milliseconds, now);
  }

  /** Another target has taken its place: it gets all that waits, and nothing is known of it. */
  handleTargetReplaced(): void {
    this.serviceTime.clear();
    this.releaseAll();
  }

  /** The target has returned a packet: no request of its flow can be served here. */
  dropReturnedRequest(packet: FlowPacket): void {
    this.queue.remove(packet.flow);
  }

  /** Hands over waiting requests as far as the target has room. */
  releaseWaiting(now: number): void {
    while (this.queue.size > 0 && this.hasCapacity) {
      const next = this.queue.take(now, (terms) => this.computeWaitLimit(terms));
      if (!next) {
        return;
      }
      this.release(next);
    }
  }

  /** Hands over all that waits: the target is another one, or this agent goes. */
  releaseAll(): void {
    this.queue.takeAll().forEach((request) => this.release(request));
  }

  /** Takes out all that waits, for a target that cannot serve it. */
  takeAll(): WaitingRequest[] {
    return this.queue.takeAll();
  }

  /**
   * Drops requests whose clients have left or whose callers have given up.
   * @returns those dropped
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

  /** Milliseconds of waiting after which a request of some terms is late. */
  private computeWaitLimit({ latencyGoal }: RouteTerms): number {
    const goal = latencyGoal || this.dependencies.getLatencyGoal();
    return goal > 0 ? this.serviceTime.computeWaitLimit(goal) : this.serviceTime.defaultWaitLimit;
  }

  /** Whether the target would begin with another request soon. */
  private get hasCapacity(): boolean {
    const { target, tracker } = this.dependencies;
    const slots = target.slots || DEFAULT_SLOTS;
    const limit = slots + Math.ceil(slots * QUEUED_SLOT_SHARE);
    return tracker.workingRequests < limit;
  }

  private release(request: WaitingRequest | undefined): void {
    if (request) {
      const { packet, balancer, searchId } = request;
      this.dependencies.handOver(packet, balancer, searchId);
    }
  }
}
