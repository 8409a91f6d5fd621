/**
 * A bounded memory of which target hosts a flow, taught by replies.
 *
 * Two generations: new knowledge goes to the young one; when the young ones of all
 * services together are full they become the old ones, and what was not used since is
 * forgotten. Costs one map entry a flow and no bookkeeping per packet.
 */
import type { Endpoint } from '../environment';

/** A target as replies show it; one object is shared by all its flows. */
export interface LearntHost {
  readonly target: string;
  readonly endpoint: Endpoint;
}

/** The bound that all services of a balancer share. */
export class LearntBudget {
  /** Rises when all generations change. */
  generation = 0;
  private young = 0;

  /** @param capacity flows kept over all services; at most this many, at least half of them */
  constructor(private readonly capacity: number) {}

  /** Notes one more flow; begins a new generation when half of the capacity is young. */
  add(): void {
    this.young++;
    if (this.young >= this.capacity / 2) {
      this.young = 0;
      this.generation++;
    }
  }
}

/** Flow to host, for one service. */
export class LearntHosts {
  private young = new Map<Endpoint, LearntHost>();
  private old = new Map<Endpoint, LearntHost>();
  private generation: number;

  constructor(private readonly budget: LearntBudget) {
    this.generation = budget.generation;
  }

  get size(): number {
    this.catchUp();
    return this.young.size + this.old.size;
  }

  get(caller: Endpoint): LearntHost | undefined {
    this.catchUp();
    const recent = this.young.get(caller);
    if (recent) {
      return recent;
    }
    const earlier = this.old.get(caller);
    if (earlier) {
      this.old.delete(caller);
      this.set(caller, earlier);
    }
    return earlier;
  }

  set(caller: Endpoint, host: LearntHost): void {
    this.catchUp();
    const before = this.young.size;
    this.young.set(caller, host);
    if (this.young.size > before) {
      this.budget.add();
    }
  }

  /** Ages by as many generations as have begun since the last use. */
  private catchUp(): void {
    const passed = this.budget.generation - this.generation;
    if (passed > 0) {
      this.old = passed === 1 ? this.young : new Map();
      this.young = new Map();
      this.generation = this.budget.generation;
    }
  }
}
