/**
 * Which balancers read the store for all of them.
 *
 * Each call to the store has a price, and each change wakes every waiting call. So a few
 * balancers read, and tell the others what they learn and when the store last answered them.
 * There is no election: a balancer that has not heard of enough recent answers begins to read
 * after a random delay, and one too many stops. Whoever dies, is cut off or is refused by the
 * store has no recent answer any more, and is replaced for that reason alone.
 */
import type { Endpoint } from '../environment';

/** Balancers that read: one may be lost, and the other still tells of changes at once. */
export const READER_COUNT = 2;
/** Readers noted, so that one too many knows those that come before it. */
const MAXIMUM_TRACKED_READERS = 32;
/**
 * Balancers up to which each reads for itself: that many long waiting calls cost about as much
 * as the short ones of two readers (6 a minute and collection against 40).
 */
const SMALL_CLUSTER_SIZE = 12;
/**
 * Milliseconds for which an answer counts as recent at most. A reader has one at least in
 * half of this time and tells everyone at once.
 */
const MAXIMUM_RECENT_TIME_MS = 3_000;
/** Part of the time in which a change must be in force in which readers must be replaced. */
const RECENT_TIME_SHARE = 0.5;
/** Part of the recent time that a call may wait at the store. */
const WAIT_TIME_SHARE = 1 / 2;
/** Milliseconds over which balancers spread when readers are missing: one of 60 comes in 17. */
const TAKEOVER_SPREAD_MS = 1_000;
/** The spread grows with each failed try up to this many times. */
const MAXIMUM_SPREAD_FACTOR = 8;
/** Milliseconds in which a balancer that starts may get everything from another. */
const STARTUP_SPREAD_MS = 250;
/**
 * Megabits of a table of 1,500 routes and a registry of 50 agents as the store lists them. From
 * another balancer both come in a twentieth of that, so one with a slow link waits for that as long
 * as its own reading would take, and leaves its link free meanwhile: with links of 7 Mbit/s a
 * balancer had its view 0.4 s after its start in a cluster where faster ones had theirs at once.
 */
const LISTING_MEGABITS = 2.8;
/** Part of that time for which a balancer waits that others ask first. */
const FIRST_READER_WAIT_SHARE = 0.5;
const MS_PER_SECOND = 1_000;
/** Milliseconds after its start in which a balancer may not know yet how many there are. */
const DISCOVERY_TIME_MS = 3_000;
/** Milliseconds of waiting at the store where every balancer reads for itself. */
const INDEPENDENT_WAIT_MS = 10_000;

/** One reader as balancers tell of it. */
export interface StoreReader {
  readonly reader: Endpoint;
  /** Milliseconds since the store last answered it. */
  readonly age: number;
}

/** Whether to read the store from now on. */
export type ReadingDecision = 'read' | 'rest' | 'unchanged';

/** What a decision depends on. */
export interface ReadingCircumstances {
  readonly now: number;
  readonly isReading: boolean;
  /** Balancers known, this one included. */
  readonly clusterSize: number;
  /** This balancer has a routing table and knows all agents. */
  readonly hasView: boolean;
}

/** The readers as one balancer knows them. */
export class StoreReaders {
  /** When the store last answered each reader; the most recent last. */
  private readonly answeredAt = new Map<Endpoint, number>();
  private takeoverAt: number | undefined;
  private failedAttempts = 0;
  /** Milliseconds for which an answer counts as recent. */
  private readonly recentTime: number;

  /**
   * @param applyTime milliseconds in which a change of the routing table must be in force
   * @param isFirst whether this balancer reads as soon as it starts
   * @param linkSpeed megabits a second that this balancer can receive
   * @param startedAt time of its start
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

  /** The store has answered this balancer. */
  recordAnswer(now: number): void {
    this.failedAttempts = 0;
    this.recordAnswerTime(this.self, now);
  }

  /**
   * The store has failed this balancer's latest call. One that has had no recent answer leaves
   * the next try to others; if the store fails them all, they try by turns.
   */
  recordFailure({ clusterSize, hasView, now }: ReadingCircumstances): ReadingDecision {
    this.failedAttempts++;
    const isRecent = now - (this.answeredAt.get(this.self) ?? -Infinity) <= this.recentTime;
    const mayStop = hasView && !isRecent && !this.readsIndependently(clusterSize, now);
    return mayStop ? 'rest' : 'unchanged';
  }

  /** Takes what another balancer tells of readers. */
  mergeReaders(readers: readonly StoreReader[], now: number): void {
    for (const { reader, age } of readers) {
      if (reader !== this.self) {
        this.recordAnswerTime(reader, now - age);
      }
    }
  }

  /** The readers with the most recent answers, for other balancers. */
  getLatestReaders(now: number): StoreReader[] {
    const known = [...this.answeredAt].slice(-READER_COUNT).reverse();
    return known.map(([reader, at]) => ({ reader, age: Math.round(now - at) }));
  }

  /** Time at which this balancer begins to read if readers are still missing then. */
  get dueAt(): number | undefined {
    return this.takeoverAt;
  }

  /** Whether the store has lately answered any reader. */
  hasRecentAnswer(now: number): boolean {
    return this.listRecentReaders(now).length > 0;
  }

  /** Milliseconds that a call may wait at the store, for a reader of all or of its own. */
  getWaitTime(isForAll: boolean): number {
    return isForAll ? this.recentTime * WAIT_TIME_SHARE : INDEPENDENT_WAIT_MS;
  }

  /** Whether the readers of a cluster of this size read for all. */
  usesSharedReaders({ clusterSize }: ReadingCircumstances): boolean {
    return clusterSize > SMALL_CLUSTER_SIZE;
  }

  /** To be asked often: whether to begin or to stop reading. */
  decide(circumstances: ReadingCircumstances): ReadingDecision {
    const { now, isReading, clusterSize } = circumstances;
    if (this.readsIndependently(clusterSize, now)) {
      return isReading ? 'unchanged' : 'read';
    }
    const others = this.listRecentReaders(now).filter((reader) => reader !== this.self);
    if (isReading) {
      return circumstances.hasView && this.isSurplus(others) ? 'rest' : 'unchanged';
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

  /** A reader too many: others are enough, and come before it. */
  private isSurplus(others: readonly Endpoint[]): boolean {
    return others.filter((reader) => reader < this.self).length >= READER_COUNT;
  }

  /** Milliseconds until this balancer begins to read. */
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

  /** Keeps the readers with the latest answers, in that order. */
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
