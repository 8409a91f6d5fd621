/** Destinations of the flows at one target, by the packets that it has sent. */
import type { Endpoint } from '../environment';

/** Destinations that fit into one datagram. */
const MAXIMUM_DESTINATIONS = 64;
/** Spares an update for each packet of a busy target. */
const UPDATE_INTERVAL_MS = 1_000;

/** The destinations that an agent tells about. */
export interface ListedDestinations {
  readonly destinations: readonly Endpoint[];
  /** Whether a destination in use may be missing. */
  readonly isTruncated: boolean;
}

/** Destinations in use at the target of one agent. */
export class RecentDestinations {
  /** Time of the latest packet by destination, oldest first. */
  private readonly usedAt = new Map<Endpoint, number>();
  private evictedAt = -Infinity;

  /** @param lifetime milliseconds without a packet after which no flow of a destination is open */
  constructor(private readonly lifetime: number) {}

  /** Records a packet of the target on a flow of a destination. */
  record(destination: Endpoint, now: number): void {
    const last = this.usedAt.get(destination);
    if (last !== undefined && now - last < UPDATE_INTERVAL_MS) {
      return;
    }
    this.usedAt.delete(destination);
    this.usedAt.set(destination, now);
    if (this.usedAt.size > MAXIMUM_DESTINATIONS) {
      const [oldest] = this.usedAt.keys();
      this.usedAt.delete(oldest!);
      this.evictedAt = now;
    }
  }

  /** Lists the destinations whose flows may be open. */
  list(now: number): ListedDestinations {
    const isOpen = (usedAt: number): boolean => now - usedAt <= this.lifetime + UPDATE_INTERVAL_MS;
    const open = [...this.usedAt].filter(([, usedAt]) => isOpen(usedAt));
    return {
      destinations: open.map(([destination]) => destination),
      isTruncated: isOpen(this.evictedAt),
    };
  }
}
