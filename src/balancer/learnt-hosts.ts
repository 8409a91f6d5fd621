/**
 * A bounded memory of which target hosts a flow, taught by replies.
 *
 * Two generations: new knowledge goes to the young one; when that is full it
 * becomes the old one, and what was not used since is forgotten. Costs one map
 * entry a flow and no bookkeeping per packet.
 */
import type { Endpoint } from '../environment';

/** A target as replies show it; one object is shared by all its flows. */
export interface LearntHost {
  readonly target: string;
  readonly endpoint: Endpoint;
}

/** Flow to host, for one service. */
export class LearntHosts {
  private young = new Map<Endpoint, LearntHost>();
  private old = new Map<Endpoint, LearntHost>();

  /** @param capacity flows kept; at most this many, at least half of them */
  constructor(private readonly capacity: number) {}

  get size(): number {
    return this.young.size + this.old.size;
  }

  get(caller: Endpoint): LearntHost | undefined {
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
    if (this.young.size >= this.capacity / 2) {
      this.old = this.young;
      this.young = new Map();
    }
    this.young.set(caller, host);
  }

  delete(caller: Endpoint): void {
    this.young.delete(caller);
    this.old.delete(caller);
  }
}
