/**
 * A bounded memory of which target hosts a flow, taught by replies.
 *
 * Two generations: new knowledge goes to the young one; when the young ones of all
 * services together are full they become the old ones, and what was not used since is
 * forgotten. Costs one map entry a flow and no bookkeeping per packet.
 */
import type { Endpoint } from '../environment';

/** A target as replies show it; one object is shared by all its flows. */
export interface FlowHost {
  readonly target: string;
  readonly endpoint: Endpoint;
}

/** The bound that all services of a balancer share. */
export class FlowCacheBudget {
  /** Rises when all generations change. */
  generation = 0;
  private recentEntries = 0;

  /** @param capacity flows kept over all services; at most this many, at least half of them */
  constructor(private readonly capacity: number) {}

  /** Notes one more flow; begins a new generation when half of the capacity is young. */
  countEntry(): void {
    this.recentEntries++;
    if (this.recentEntries >= this.capacity / 2) {
      this.recentEntries = 0;
      this.generation++;
    }
  }
}

/** Flow to host, for one service. */
export class FlowHostCache {
  private recent = new Map<Endpoint, FlowHost>();
  private previous = new Map<Endpoint, FlowHost>();
  private generation: number;

  constructor(private readonly budget: FlowCacheBudget) {
    this.generation = budget.generation;
  }

  get size(): number {
    this.rotateGenerations();
    return this.recent.size + this.previous.size;
  }

  get(caller: Endpoint): FlowHost | undefined {
    this.rotateGenerations();
    const recentHost = this.recent.get(caller);
    if (recentHost) {
      return recentHost;
    }
    const previousHost = this.previous.get(caller);
    if (previousHost) {
      this.previous.delete(caller);
      this.set(caller, previousHost);
    }
    return previousHost;
  }

  set(caller: Endpoint, host: FlowHost): void {
    this.rotateGenerations();
    const sizeBefore = this.recent.size;
    this.recent.set(caller, host);
    if (this.recent.size > sizeBefore) {
      this.budget.countEntry();
    }
  }

  /** Ages by as many generations as have begun since the last use. */
  private rotateGenerations(): void {
    const elapsedGenerations = this.budget.generation - this.generation;
    if (elapsedGenerations > 0) {
      this.previous = elapsedGenerations === 1 ? this.recent : new Map();
      this.recent = new Map();
      this.generation = this.budget.generation;
    }
  }
}
