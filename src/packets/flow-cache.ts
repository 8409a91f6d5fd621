/**
 * Which agent holds which flow, as a balancer has learnt it. Only a short cut: what is
 * missing or wrong here is found by asking the agents. Bounded; the least recently used
 * flow is dropped first.
 */
import type { Endpoint } from '../environment';
import { createFlowRequestCount, type FlowRequestCount } from './choice/route-request-statistics';
import type { FlowKey } from './flow-packet';

/** What a balancer knows of one flow. */
export interface CachedFlow {
  /** The agent that holds the flow, or that was sent its latest opening packet. */
  agent: Endpoint;
  /** An agent has said that its target holds the flow. */
  isConfirmed: boolean;
  /** Service chosen when the flow opened here; undefined for a flow that was learnt. */
  readonly service: string | undefined;
  /** Agents that were sent an opening packet and have not refused it. */
  readonly offeredTo: Set<Endpoint>;
  /** Its requests, as far as they have passed here. */
  readonly usage: FlowRequestCount;
  usedAt: number;
}

/** Flows by key, least recently used first. */
export class FlowCache {
  private readonly flows = new Map<FlowKey, CachedFlow>();

  /**
   * @param capacity flows kept at most
   * @param lifetime milliseconds after its last use at which a flow is dropped
   */
  constructor(
    private readonly capacity: number,
    private readonly lifetime: number,
  ) {}

  get size(): number {
    return this.flows.size;
  }

  /** A flow, which counts as used now. */
  get(key: FlowKey, now: number): CachedFlow | undefined {
    const flow = this.flows.get(key);
    if (!flow) {
      return undefined;
    }
    this.flows.delete(key);
    if (now - flow.usedAt > this.lifetime) {
      return undefined;
    }
    flow.usedAt = now;
    this.flows.set(key, flow);
    return flow;
  }

  /** Notes that an opening packet went to an agent. */
  recordOpening(key: FlowKey, agent: Endpoint, service: string, now: number): void {
    const known = this.get(key, now);
    if (known) {
      known.agent = known.isConfirmed ? known.agent : agent;
      known.offeredTo.add(agent);
      return;
    }
    const offeredTo = new Set([agent]);
    const usage = createFlowRequestCount();
    this.insert(key, {
      agent,
      isConfirmed: false,
      service,
      offeredTo: offeredTo,
      usage: usage,
      usedAt: now,
    });
  }

  /** Notes that an agent's target holds the flow. */
  confirm(key: FlowKey, agent: Endpoint, now: number): void {
    const known = this.get(key, now);
    if (known) {
      known.agent = agent;
      known.isConfirmed = true;
      return;
    }
    const flow: CachedFlow = {
      agent,
      isConfirmed: true,
      service: undefined,
      offeredTo: new Set(),
      usage: createFlowRequestCount(),
      usedAt: now,
    };
    this.insert(key, flow);
  }

  /** An agent's target does not hold the flow. */
  invalidate(key: FlowKey, agent: Endpoint): void {
    const flow = this.flows.get(key);
    if (!flow) {
      return;
    }
    flow.offeredTo.delete(agent);
    if (flow.agent !== agent) {
      return;
    }
    const [other] = flow.offeredTo;
    if (other === undefined) {
      this.flows.delete(key);
      return;
    }
    flow.agent = other;
    flow.isConfirmed = false;
  }

  /** Drops flows that have not been used for their lifetime. */
  expire(now: number): void {
    for (const [key, flow] of this.flows) {
      if (now - flow.usedAt <= this.lifetime) {
        return;
      }
      this.flows.delete(key);
    }
  }

  private insert(key: FlowKey, flow: CachedFlow): void {
    this.flows.set(key, flow);
    if (this.flows.size > this.capacity) {
      const [oldest] = this.flows.keys();
      this.flows.delete(oldest!);
    }
  }
}
