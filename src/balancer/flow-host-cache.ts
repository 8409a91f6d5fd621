/**
 * A bounded cache of the target that hosts each flow, filled from replies.
 *
 * Two generations approximate LRU: new entries go to the current one. When the current
 * generations of all services together are full, they become the previous ones, whose unused
 * entries are evicted at the next change. Costs one map entry per flow, no work per packet.
 */
import type { Endpoint } from '../environment';

/** A target and the address its replies come from; all its flows share one object. */
export interface FlowHost {
  readonly target: string;
  readonly endpoint: Endpoint;
}

/** The bound on cached flows that all services of a balancer share. */
export class FlowCacheBudget {
  /** Increases when all caches begin a new generation. */
  generation = 0;
  private currentEntries = 0;

  /** @param capacity maximum of flows cached over all services; once full, at least half of it */
  constructor(private readonly capacity: number) {}

  /** Counts a new entry; begins a new generation every `capacity / 2` entries. */
  countEntry(): void {
    this.currentEntries++;
    if (this.currentEntries >= this.capacity / 2) {
      this.currentEntries = 0;
      this.generation++;
    }
  }
}

/** Hosts of the flows of one service, by caller. */
export class FlowHostCache {
  private current = new Map<Endpoint, FlowHost>();
  private previous = new Map<Endpoint, FlowHost>();
  private generation: number;

  constructor(private readonly budget: FlowCacheBudget) {
    this.generation = budget.generation;
  }

  get size(): number {
    this.rotateGenerations();
    return this.current.size + this.previous.size;
  }

  get(caller: Endpoint): FlowHost | undefined {
    this.rotateGenerations();
    const currentHost = this.current.get(caller);
    if (currentHost) {
      return currentHost;
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
    const sizeBefore = this.current.size;
    this.current.set(caller, host);
    if (this.current.size > sizeBefore) {
      this.budget.countEntry();
    }
  }

  /** Applies all generation changes since the last use. */
  private rotateGenerations(): void {
    const elapsedGenerations = this.budget.generation - this.generation;
    if (elapsedGenerations > 0) {
      this.previous = elapsedGenerations === 1 ? this.current : new Map();
      this.current = new Map();
      this.generation = this.budget.generation;
    }
  }
}
