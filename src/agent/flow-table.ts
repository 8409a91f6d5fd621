/** The flows that this agent hosts, and ended flows not yet reported to the bucket owners. */
import type { BucketSet } from '../core/bucket-set';
import type { Endpoint } from '../environment';
import type { AgentContext } from './agent-context';
import { packCallers } from './flow-entries';

const MAXIMUM_CLOSED_PER_HEARTBEAT = 100;

/** One hosted flow; small, since a target may hold thousands. */
export interface HostedFlow {
  /** The balancer that last carried a datagram of the flow. */
  balancer: Endpoint;
  /** Time of the last datagram in either direction. */
  lastActive: number;
}

/** State handed to the successor. */
export interface FlowTableState {
  readonly flows: readonly (HostedFlow & { readonly caller: Endpoint })[];
  readonly closed: readonly Endpoint[];
}

/** Hosted flows by caller. */
export class FlowTable {
  private readonly flows = new Map<Endpoint, HostedFlow>();
  private readonly closed = new Set<Endpoint>();

  constructor(private readonly context: AgentContext) {}

  get size(): number {
    return this.flows.size;
  }

  get(caller: Endpoint): HostedFlow | undefined {
    return this.flows.get(caller);
  }

  /** All hosted flows. */
  getAll(): IterableIterator<[Endpoint, HostedFlow]> {
    return this.flows.entries();
  }

  /** Adds a hosted flow. */
  open(caller: Endpoint, balancer: Endpoint): HostedFlow {
    const flow = { balancer, lastActive: this.context.environment.now() };
    this.flows.set(caller, flow);
    this.closed.delete(caller);
    return flow;
  }

  /** Callers whose flows have been idle for longer than `flowIdle`. */
  listIdleCallers(): Endpoint[] {
    const oldest = this.context.environment.now() - this.context.settings.flowIdle;
    const idle: Endpoint[] = [];
    for (const [caller, flow] of this.flows) {
      if (flow.lastActive < oldest) {
        idle.push(caller);
      }
    }
    return idle;
  }

  /** Ends a flow, to be reported to its owner; returns false if it is not hosted here. */
  close(caller: Endpoint): boolean {
    const wasHosted = this.flows.delete(caller);
    if (wasHosted) {
      this.closed.add(caller);
    }
    return wasHosted;
  }

  listCallersIn(buckets: BucketSet): Endpoint[] {
    return [...this.flows.keys()].filter((caller) => buckets.has(this.context.getBucket(caller)));
  }

  /** Ended flows whose bucket passes `isRelevant`, packed; each is returned once. */
  takeClosed(isRelevant: (bucket: number) => boolean): Buffer {
    const taken: Endpoint[] = [];
    for (const caller of this.closed) {
      if (taken.length >= MAXIMUM_CLOSED_PER_HEARTBEAT) {
        break;
      }
      if (isRelevant(this.context.getBucket(caller))) {
        taken.push(caller);
        this.closed.delete(caller);
      }
    }
    return packCallers(taken);
  }

  exportState(): FlowTableState {
    const flows = [...this.flows].map(([caller, flow]) => ({ caller, ...flow }));
    return { flows, closed: [...this.closed] };
  }

  importState(state: FlowTableState): void {
    for (const { caller, balancer, lastActive } of state.flows) {
      this.flows.set(caller, { balancer, lastActive });
    }
    state.closed.forEach((caller) => this.closed.add(caller));
  }
}
