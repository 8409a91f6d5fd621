/**
 * A bounded LRU cache of the holders of flows, as a balancer has learnt them. Missing or wrong
 * entries are resolved by a search among the agents.
 */
import type { Endpoint } from '../environment';
import { createFlowRequestCount, type FlowRequestCount } from './choice/route-request-statistics';
import type { FlowKey } from './flow-packet';

/** What a balancer knows about one flow. */
export interface CachedFlow {
  /** The agent that holds the flow, or that got its latest opening packet. */
  agent: Endpoint;
  /** Whether an agent has confirmed that its target holds the flow. */
  isConfirmed: boolean;
  /** Service chosen when this balancer opened the flow; undefined for a flow that it found. */
  readonly service: string | undefined;
  /** Agents that got an opening packet and have not refused it. */
  readonly offeredTo: Set<Endpoint>;
  /** Usage by requests that passed through this balancer. */
  readonly usage: FlowRequestCount;
  usedAt: number;
}

/** Flows by key, least recently used first. */
export class FlowCache {
  private readonly flows = new Map<FlowKey, CachedFlow>();

  /**
   * @param capacity maximum number of flows
   * @param lifetime time after its last use at which a flow expires, in milliseconds
   */
  constructor(
    private readonly capacity: number,
    private readonly lifetime: number,
  ) {}

  get size(): number {
    return this.flows.size;
  }

  /** Returns a flow and marks it as used; undefined when unknown or expired. */
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

  /** Records that an opening packet was sent to an agent. */
  recordOpening(key: FlowKey, agent: Endpoint, service: string, now: number): void {
    const cached = this.get(key, now);
    if (cached) {
      cached.agent = cached.isConfirmed ? cached.agent : agent;
      cached.offeredTo.add(agent);
      return;
    }
    const offeredTo = new Set([agent]);
    const usage = createFlowRequestCount();
    this.insert(key, {
      agent,
      isConfirmed: false,
      service,
      offeredTo,
      usage,
      usedAt: now,
    });
  }

  /** Records that an agent's target holds the flow. */
  confirm(key: FlowKey, agent: Endpoint, now: number): void {
    const cached = this.get(key, now);
    if (cached) {
      cached.agent = agent;
      cached.isConfirmed = true;
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

  /** Removes an agent that does not hold the flow; falls back to another that was offered it. */
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

  /** Removes expired flows. */
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
