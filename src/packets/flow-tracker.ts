/**
 * Tracks the flows of one target by the packets that pass its agent: how many are open, which have
 * a request in flight, and which balancer last sent a packet of each.
 */
import type { Endpoint } from '../environment';
import { ServiceTimeTracker } from './choice/service-time-tracker';
import type { FlowKey, FlowPacket } from './flow-packet';
import { computeEndSequence, computeDistance } from './repair/sequence-numbers';

/** Flows tracked at once; beyond that the least recently used one is evicted. */
const MAXIMUM_FLOWS = 20_000;
/** Time after which a request without an answer counts as failed. */
const REQUEST_TIMEOUT_MS = 1_500;

/** State of one flow. */
interface TrackedFlow {
  /** The balancer that sent its latest packet; undefined before the first. */
  balancer: Endpoint | undefined;
  /** The balancer last notified that the target holds the flow. */
  notifiedBalancer: Endpoint | undefined;
  /** The target has sent a packet that only the holder of an open flow sends. */
  isHeld: boolean;
  /** The target has ended the flow; its last packets may still arrive. */
  hasEnded: boolean;
  /** A request has been delivered and its answer has not started. */
  isBusy: boolean;
  /** That request is complete, so that the target processes it or has it queued. */
  isWorking: boolean;
  /** Time at which that request was delivered. */
  busySince: number;
  /** Sequence number of the target's answer to an opening packet; undefined before it. */
  openingSequence: number | undefined;
  /** Sequence number after the last data that the target has sent; undefined before any. */
  sentEnd: number | undefined;
  /** Highest sequence number of data delivered, to detect retransmissions; undefined before any. */
  lastSequence: number | undefined;
  usedAt: number;
}

/** Flows of one target. */
export class FlowTracker {
  private readonly flows = new Map<FlowKey, TrackedFlow>();
  private busyCount = 0;
  private workingCount = 0;
  private heldCount = 0;
  private readonly serviceTimes: ServiceTimeTracker<TrackedFlow>;
  /** Time of the latest update. */
  private lastUpdateAt = 0;

  /** @param slots requests that the target processes concurrently; 0 while unknown */
  constructor(slots: () => number = () => 0) {
    this.serviceTimes = new ServiceTimeTracker(slots);
  }

  /** Requests that the target has received at least in part and not answered yet. */
  get busyRequests(): number {
    return this.busyCount;
  }

  /** Complete requests that the target processes or has queued. */
  get workingRequests(): number {
    return this.workingCount;
  }

  /** Flows that the target is known to hold. */
  get openFlows(): number {
    return this.heldCount;
  }

  /** Records a client's packet that is about to be delivered. */
  recordDelivery(packet: FlowPacket, balancer: Endpoint, now: number): void {
    const flow = this.touchFlow(packet.flow, now);
    flow.balancer = balancer;
    flow.hasEnded = flow.hasEnded && !packet.opens;
    if (packet.resets) {
      this.remove(packet.flow);
    } else if (packet.payloadLength > 0 && isNewer(packet.sequence, flow.lastSequence)) {
      flow.lastSequence = packet.sequence;
      flow.busySince = now;
      this.setBusy(flow, true);
      this.setWorking(flow, !packet.isFull);
    }
  }

  /**
   * Whether a packet completes a request that the target has not received yet, on a flow that the
   * target holds or that this packet opens there.
   */
  completesRequest(packet: FlowPacket): boolean {
    if (packet.payloadLength === 0 || packet.isFull || packet.resets) {
      return false;
    }
    const flow = this.flows.get(packet.flow);
    if (!flow || !isNewer(packet.sequence, flow.lastSequence)) {
      return false;
    }
    return flow.isHeld || acknowledgesOpening(packet, flow.openingSequence);
  }

  /**
   * Milliseconds for which the target has processed a flow's request; undefined if there is none,
   * or it is queued.
   */
  getServiceTime(key: FlowKey, now: number): number | undefined {
    const flow = this.flows.get(key);
    return flow && this.serviceTimes.getServiceTime(flow, now);
  }

  /** Milliseconds for which the target has processed the request that it started first; 0 if none. */
  getLongestServiceTime(now: number): number {
    return this.serviceTimes.getLongestServiceTime(now);
  }

  /** Whether a flow's request has been delivered and its answer has not started. */
  awaitsAnswer(flow: FlowKey): boolean {
    return this.flows.get(flow)?.isBusy === true;
  }

  /**
   * Records a packet that the target has sent.
   * @returns the balancer that must be notified that the target holds the flow, if any
   */
  recordSentPacket(packet: FlowPacket, now: number): Endpoint | undefined {
    const flow = this.touchFlow(packet.flow, now);
    if (packet.payloadLength > 0 || packet.resets || packet.ends) {
      this.setBusy(flow, false);
    }
    flow.openingSequence = packet.opens ? packet.sequence : flow.openingSequence;
    flow.sentEnd = computeSentEnd(packet, flow.sentEnd);
    if (packet.resets || packet.ends) {
      this.setHeld(flow, false);
      flow.hasEnded = true;
      return undefined;
    }
    if (!packet.opens && !flow.hasEnded) {
      this.setHeld(flow, true);
    }
    if (!flow.isHeld || flow.balancer === undefined || flow.notifiedBalancer === flow.balancer) {
      return undefined;
    }
    flow.notifiedBalancer = flow.balancer;
    return flow.balancer;
  }

  /**
   * Checks for a balancer whether the target holds a flow; if so, the balancer counts as notified.
   * @returns whether the target is known to hold it
   */
  confirmHeldFor(key: FlowKey, balancer: Endpoint): boolean {
    const flow = this.flows.get(key);
    if (!flow?.isHeld) {
      return false;
    }
    flow.balancer = balancer;
    flow.notifiedBalancer = balancer;
    return true;
  }

  /**
   * Whether a client's packet completes a handshake of the target, so that its flow opens there and
   * nowhere else; if so, the balancer counts as notified.
   */
  confirmOpenedBy(packet: FlowPacket, balancer: Endpoint): boolean {
    const flow = this.flows.get(packet.flow);
    if (!flow || flow.hasEnded || !acknowledgesOpening(packet, flow.openingSequence)) {
      return false;
    }
    flow.notifiedBalancer = balancer;
    return true;
  }

  /**
   * Whether a client's packet belongs to a flow that the target has ended. It must acknowledge what
   * the target has sent: a later flow of the same endpoints may have opened elsewhere.
   */
  belongsToEndedFlow(packet: FlowPacket): boolean {
    const flow = this.flows.get(packet.flow);
    return flow !== undefined && flow.hasEnded && acknowledgesSent(packet, flow);
  }

  /** Whether any packet of a flow has been delivered that the target did not reject. */
  hasSeenFlow(flow: FlowKey): boolean {
    return this.flows.has(flow);
  }

  /** Removes the flow of a packet that the target rejected: the target does not hold it. */
  recordReturnedPacket(packet: FlowPacket): void {
    this.remove(packet.flow);
  }

  /**
   * Resets all flows for a new target: none is known to be held. They stay recorded as seen, since the
   * new target may have opened some of them before its first heartbeat, and only it knows which.
   */
  handleTargetReplaced(): void {
    for (const [key, { usedAt }] of this.flows) {
      this.flows.set(key, createFlow(usedAt));
    }
    this.serviceTimes.clear();
    this.busyCount = 0;
    this.workingCount = 0;
    this.heldCount = 0;
  }

  /**
   * Times out requests that have waited too long: they no longer count as in flight.
   * @returns the number of requests timed out
   */
  timeOutRequests(now: number): number {
    this.lastUpdateAt = now;
    if (this.busyCount === 0) {
      return 0;
    }
    let timedOut = 0;
    for (const flow of this.flows.values()) {
      if (flow.isBusy && now - flow.busySince > REQUEST_TIMEOUT_MS) {
        this.setBusy(flow, false);
        timedOut++;
      }
    }
    return timedOut;
  }

  /** Drops flows that have been idle for longer than `lifetime` milliseconds. */
  expire(lifetime: number, now: number): void {
    for (const [key, flow] of this.flows) {
      if (now - flow.usedAt <= lifetime) {
        return;
      }
      this.remove(key);
    }
  }

  private touchFlow(key: FlowKey, now: number): TrackedFlow {
    this.lastUpdateAt = now;
    const known = this.flows.get(key);
    if (known) {
      this.flows.delete(key);
      known.usedAt = now;
      this.flows.set(key, known);
      return known;
    }
    const flow = createFlow(now);
    this.flows.set(key, flow);
    if (this.flows.size > MAXIMUM_FLOWS) {
      const [oldest] = this.flows.keys();
      this.remove(oldest!);
    }
    return flow;
  }

  private setBusy(flow: TrackedFlow, isBusy: boolean): void {
    if (flow.isBusy !== isBusy) {
      flow.isBusy = isBusy;
      this.busyCount += isBusy ? 1 : -1;
    }
    if (!isBusy) {
      this.setWorking(flow, false);
    }
  }

  private setWorking(flow: TrackedFlow, isWorking: boolean): void {
    if (flow.isWorking !== isWorking) {
      flow.isWorking = isWorking;
      this.workingCount += isWorking ? 1 : -1;
      if (isWorking) {
        this.serviceTimes.startRequest(flow, this.lastUpdateAt);
      } else {
        this.serviceTimes.endRequest(flow, this.lastUpdateAt);
      }
    }
  }

  private setHeld(flow: TrackedFlow, isHeld: boolean): void {
    if (flow.isHeld !== isHeld) {
      flow.isHeld = isHeld;
      this.heldCount += isHeld ? 1 : -1;
    }
  }

  private remove(key: FlowKey): void {
    const flow = this.flows.get(key);
    if (flow) {
      this.flows.delete(key);
      this.setBusy(flow, false);
      this.setHeld(flow, false);
    }
  }
}

/** A flow of which nothing is known except that a packet of it was seen. */
function createFlow(usedAt: number): TrackedFlow {
  return {
    balancer: undefined,
    notifiedBalancer: undefined,
    isHeld: false,
    hasEnded: false,
    isBusy: false,
    isWorking: false,
    busySince: 0,
    openingSequence: undefined,
    sentEnd: undefined,
    lastSequence: undefined,
    usedAt,
  };
}

/** Whether a 32-bit sequence number is after another, allowing for wrap-around. */
function isNewer(sequence: number, previous: number | undefined): boolean {
  return previous === undefined || computeDistance(previous, sequence) > 0;
}

/** Whether a client's packet acknowledges the target's answer to its opening packet. */
function acknowledgesOpening(packet: FlowPacket, sequence: number | undefined): boolean {
  if (sequence === undefined) {
    return false;
  }
  const distance = (packet.acknowledgement - sequence) >>> 0;
  return distance <= 1;
}

/** Sequence number after the last data that a target has sent, including the given packet. */
function computeSentEnd(packet: FlowPacket, sentEnd: number | undefined): number {
  const end = computeEndSequence(packet);
  return packet.opens || sentEnd === undefined || isNewer(end, sentEnd) ? end : sentEnd;
}

/** Whether a client's packet acknowledges anything that the target has sent on a flow. */
function acknowledgesSent(
  { acknowledgement }: FlowPacket,
  { openingSequence, sentEnd: sentUntil }: TrackedFlow,
): boolean {
  if (openingSequence === undefined || sentUntil === undefined) {
    return false;
  }
  const acknowledged = computeDistance(openingSequence, acknowledgement);
  return acknowledged > 0 && acknowledged <= computeDistance(openingSequence, sentUntil);
}
