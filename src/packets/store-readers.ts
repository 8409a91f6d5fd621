/**
 * Decides which balancers read the store for all of them.
 *
 * Each call to the store has a cost, and each change wakes every waiting call. So a few
 * balancers read, and send the others the changes and the time of the store's last answer.
 * There is no election: a balancer that knows too few readers with a recent answer starts reading
 * after a random delay, and a surplus one stops. A reader that dies, is partitioned or is refused
 * by the store has no recent answer, and is replaced without further detection.
 */
import type { Endpoint } from '../environment';

/** Number of reading balancers: if one is lost, the other still sends changes at once. */
export const READER_COUNT = 2;
/** Enough for a surplus reader to know the readers that rank before it. */
const MAXIMUM_TRACKED_READERS = 32;
/**
 * Up to this cluster size each balancer reads for itself: that many long polls cost about as much
 * as the short ones of two readers (6 per minute and collection against 40).
 */
const SMALL_CLUSTER_SIZE = 12;
/**
 * Upper limit of the time for which an answer counts as recent. A reader gets at least one answer
 * in half of this time and broadcasts its status at once.
 */
const MAXIMUM_RECENT_TIME_MS = 3_000;
/** Share of the apply time within which readers must be replaced. */
const RECENT_TIME_SHARE = 0.5;
/** Share of the recent time that a call may wait at the store. */
const WAIT_TIME_SHARE = 1 / 2;
/** Random delay of balancers when readers are missing: with 60 of them, one starts in 17 ms. */
const TAKEOVER_SPREAD_MS = 1_000;
/** Each failed attempt doubles the delay, up to this factor. */
const MAXIMUM_SPREAD_FACTOR = 8;
/** Random delay in which a starting balancer may get its view from another one. */
const STARTUP_SPREAD_MS = 250;
/**
 * Size of the store's listings of a table of 1,500 routes and a registry of 50 agents. A snapshot
 * of another balancer is a twentieth of that, so a balancer with a slow link waits for one as long
 * as its own listing would take and keeps the link free: otherwise, at 7 Mbit/s, it gets its view
 * 0.4 s after its start, in a cluster where faster balancers have theirs at once.
 */
const LISTING_MEGABITS = 2.8;
/** Share of the listing time that the first reader waits, so that faster ones list first. */
const FIRST_READER_WAIT_SHARE = 0.5;
const MS_PER_SECOND = 1_000;
/** Time after its start in which a balancer may not know the cluster size yet. */
const DISCOVERY_TIME_MS = 3_000;
/** Wait time of a call at the store where every balancer reads for itself. */
const INDEPENDENT_WAIT_MS = 10_000;

/** A reader as announced between balancers. */
export interface StoreReader {
  readonly reader: Endpoint;
  /** Milliseconds since the store last answered it. */
  readonly age: number;
}

/** Whether to start or stop reading the store. */
export type ReadingDecision = 'read' | 'stop' | 'unchanged';

/** Inputs of a decision. */
export interface ReadingCircumstances {
  readonly now: number;
  readonly isReading: boolean;
  /** Balancers known, this one included. */
  readonly clusterSize: number;
  /** This balancer has a routing table and knows all agents. */
  readonly hasView: boolean;
}

/** The readers known to one balancer. */
export class StoreReaders {
  /** Time of the store's last answer to each reader, in ascending order. */
  private readonly answeredAt = new Map<Endpoint, number>();
  private takeoverAt: number | undefined;
  private failedAttempts = 0;
  /** Milliseconds for which an answer counts as recent. */
  private readonly recentTime: number;

  /**
   * @param applyTime milliseconds within which a change of the routing table must be active
   * @param isFirst whether this balancer reads as soon as it starts
   * @param linkSpeed link bandwidth of this balancer in Mbit/s
   * @param startedAt time of its start in milliseconds
   * @param random uniform in [0, 1)
   */
  constructor(
    private readonly self: Endpoint,
    applyTime: number,
    private readonly isFirst: boolean,
    private readonly linkSpeed: number,
    private readonly startedAt: number,
    private readonly random: () => number,
  ) {
    this.recentTime = Math.min(MAXIMUM_RECENT_TIME_MS, applyTime * RECENT_TIME_SHARE);
  }

  /** Records that the store has answered this balancer. */
  recordAnswer(now: number): void {
    this.failedAttempts = 0;
    this.recordAnswerTime(this.self, now);
  }

  /**
   * Records that this balancer's latest call failed. Without a recent answer it leaves the next
   * attempt to other balancers; if all of them fail, they take turns.
   */
  recordFailure({ clusterSize, hasView, now }: ReadingCircumstances): ReadingDecision {
    this.failedAttempts++;
    const isRecent = now - (this.answeredAt.get(this.self) ?? -Infinity) <= this.recentTime;
    const mayStop = hasView && !isRecent && !this.readsIndependently(clusterSize, now);
    return mayStop ? 'stop' : 'unchanged';
  }

  /** Merges the readers announced by another balancer. */
  mergeReaders(readers: readonly StoreReader[], now: number): void {
    for (const { reader, age } of readers) {
      if (reader !== this.self) {
        this.recordAnswerTime(reader, now - age);
      }
    }
  }

  /** The readers with the most recent answers, to announce to other balancers. */
  getLatestReaders(now: number): StoreReader[] {
    const known = [...this.answeredAt].slice(-READER_COUNT).reverse();
    return known.map(([reader, at]) => ({ reader, age: Math.round(now - at) }));
  }

  /** Time at which this balancer starts reading if readers are still missing. */
  get dueAt(): number | undefined {
    return this.takeoverAt;
  }

  /** Whether the store has recently answered any reader. */
  hasRecentAnswer(now: number): boolean {
    return this.listRecentReaders(now).length > 0;
  }

  /** Milliseconds that a call may wait at the store, by whether its reader reads for all. */
  getWaitTime(isForAll: boolean): number {
    return isForAll ? this.recentTime * WAIT_TIME_SHARE : INDEPENDENT_WAIT_MS;
  }

  /** Whether a few readers read for all balancers in a cluster of this size. */
  usesSharedReaders({ clusterSize }: ReadingCircumstances): boolean {
    return clusterSize > SMALL_CLUSTER_SIZE;
  }

  /** Decides whether to start or stop reading; to be called often. */
  decide(circumstances: ReadingCircumstances): ReadingDecision {
    const { now, isReading, clusterSize } = circumstances;
    if (this.readsIndependently(clusterSize, now)) {
      return isReading ? 'unchanged' : 'read';
    }
    const others = this.listRecentReaders(now).filter((reader) => reader !== this.self);
    if (isReading) {
      return circumstances.hasView && this.isSurplus(others) ? 'stop' : 'unchanged';
    }
    if (others.length >= READER_COUNT && circumstances.hasView) {
      this.takeoverAt = undefined;
      return 'unchanged';
    }
    this.takeoverAt ??= now + this.computeDelay(circumstances);
    if (now < this.takeoverAt) {
      return 'unchanged';
    }
    this.takeoverAt = undefined;
    return 'read';
  }

  /** Whether enough other readers rank before this one. */
  private isSurplus(others: readonly Endpoint[]): boolean {
    return others.filter((reader) => reader < this.self).length >= READER_COUNT;
  }

  /** Milliseconds until this balancer starts reading. */
  private computeDelay({ hasView }: ReadingCircumstances): number {
    const growth = Math.min(MAXIMUM_SPREAD_FACTOR, 2 ** this.failedAttempts);
    if (hasView) {
      return this.random() * TAKEOVER_SPREAD_MS * growth;
    }
    const listingTime = (LISTING_MEGABITS / this.linkSpeed) * MS_PER_SECOND;
    return this.isFirst
      ? listingTime * FIRST_READER_WAIT_SHARE
      : listingTime + this.random() * STARTUP_SPREAD_MS * growth;
  }

  private readsIndependently(clusterSize: number, now: number): boolean {
    return clusterSize <= SMALL_CLUSTER_SIZE && now - this.startedAt > DISCOVERY_TIME_MS;
  }

  private listRecentReaders(now: number): Endpoint[] {
    return [...this.answeredAt]
      .filter(([, at]) => now - at <= this.recentTime)
      .map(([reader]) => reader);
  }

  /** Keeps the readers with the latest answers, in ascending order of time. */
  private recordAnswerTime(reader: Endpoint, at: number): void {
    if (at <= (this.answeredAt.get(reader) ?? -Infinity)) {
      return;
    }
    this.answeredAt.delete(reader);
    this.answeredAt.set(reader, at);
    const ordered = [...this.answeredAt].sort(([, one], [, other]) => one - other);
    this.answeredAt.clear();
    ordered
      .slice(-MAXIMUM_TRACKED_READERS)
      .forEach(([key, value]) => this.answeredAt.set(key, value));
  }
}
