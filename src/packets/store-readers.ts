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
export const READERS_WANTED = 2;
/** Readers noted, so that one too many knows those that come before it. */
const READERS_NOTED = 32;
/**
 * Balancers up to which each reads for itself: that many long waiting calls cost about as much
 * as the short ones of two readers (6 a minute and collection against 40).
 */
const SMALL_CLUSTER = 12;
/**
 * Milliseconds for which an answer counts as recent at most. A reader has one at least in
 * half of this time and tells everyone at once.
 */
const LONGEST_RECENT_TIME = 3_000;
/** Part of the time in which a change must be in force in which readers must be replaced. */
const RECENT_SHARE = 0.5;
/** Part of the recent time that a call may wait at the store. */
const WAIT_SHARE = 1 / 2;
/** Milliseconds over which balancers spread when readers are missing: one of 60 comes in 17. */
const VOLUNTEER_SPREAD = 1_000;
/** The spread grows with each failed try up to this many times. */
const LONGEST_SPREAD = 8;
/** Milliseconds in which a balancer that starts may get everything from another. */
const START_SPREAD = 250;
/**
 * Megabits of a table of 1,500 routes and a registry of 50 agents as the store lists them. From
 * another balancer both come in a twentieth of that, so one with a slow link waits for that as long
 * as its own reading would take, and leaves its link free meanwhile: with links of 7 Mbit/s a
 * balancer had its view 0.4 s after its start in a cluster where faster ones had theirs at once.
 */
const LISTING_MEGABITS = 2.8;
/** Part of that time for which a balancer waits that others ask first. */
const FIRST_WAIT_SHARE = 0.5;
const MILLI = 1_000;
/** Milliseconds after its start in which a balancer may not know yet how many there are. */
const DISCOVERY_TIME = 3_000;
/** Milliseconds of waiting at the store where every balancer reads for itself. */
const LONG_WAIT = 10_000;

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
  private volunteersAt: number | undefined;
  private failedTries = 0;
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
    this.recentTime = Math.min(LONGEST_RECENT_TIME, applyTime * RECENT_SHARE);
  }

  /** The store has answered this balancer. */
  answered(now: number): void {
    this.failedTries = 0;
    this.note(this.self, now);
  }

  /**
   * The store has failed this balancer's latest call. One that has had no recent answer leaves
   * the next try to others; if the store fails them all, they try by turns.
   */
  failed({ clusterSize, hasView, now }: ReadingCircumstances): ReadingDecision {
    this.failedTries++;
    const isRecent = now - (this.answeredAt.get(this.self) ?? -Infinity) <= this.recentTime;
    const mayRest = hasView && !isRecent && !this.readsForItself(clusterSize, now);
    return mayRest ? 'rest' : 'unchanged';
  }

  /** Takes what another balancer tells of readers. */
  learn(readers: readonly StoreReader[], now: number): void {
    for (const { reader, age } of readers) {
      if (reader !== this.self) {
        this.note(reader, now - age);
      }
    }
  }

  /** The readers with the most recent answers, for other balancers. */
  tell(now: number): StoreReader[] {
    const known = [...this.answeredAt].slice(-READERS_WANTED).reverse();
    return known.map(([reader, at]) => ({ reader, age: Math.round(now - at) }));
  }

  /** Time at which this balancer begins to read if readers are still missing then. */
  get dueAt(): number | undefined {
    return this.volunteersAt;
  }

  /** Whether the store has lately answered any reader. */
  hasRecent(now: number): boolean {
    return this.recent(now).length > 0;
  }

  /** Milliseconds that a call may wait at the store, for a reader of all or of its own. */
  waitTime(isForAll: boolean): number {
    return isForAll ? this.recentTime * WAIT_SHARE : LONG_WAIT;
  }

  /** Whether the readers of a cluster of this size read for all. */
  readForAll({ clusterSize }: ReadingCircumstances): boolean {
    return clusterSize > SMALL_CLUSTER;
  }

  /** To be asked often: whether to begin or to stop reading. */
  decide(circumstances: ReadingCircumstances): ReadingDecision {
    const { now, isReading, clusterSize } = circumstances;
    if (this.readsForItself(clusterSize, now)) {
      return isReading ? 'unchanged' : 'read';
    }
    const others = this.recent(now).filter((reader) => reader !== this.self);
    if (isReading) {
      return circumstances.hasView && this.isSurplus(others) ? 'rest' : 'unchanged';
    }
    if (others.length >= READERS_WANTED && circumstances.hasView) {
      this.volunteersAt = undefined;
      return 'unchanged';
    }
    this.volunteersAt ??= now + this.delay(circumstances);
    if (now < this.volunteersAt) {
      return 'unchanged';
    }
    this.volunteersAt = undefined;
    return 'read';
  }

  /** A reader too many: others are enough, and come before it. */
  private isSurplus(others: readonly Endpoint[]): boolean {
    return others.filter((reader) => reader < this.self).length >= READERS_WANTED;
  }

  /** Milliseconds until this balancer begins to read. */
  private delay({ hasView }: ReadingCircumstances): number {
    const growth = Math.min(LONGEST_SPREAD, 2 ** this.failedTries);
    if (hasView) {
      return this.random() * VOLUNTEER_SPREAD * growth;
    }
    const listingTime = (LISTING_MEGABITS / this.linkSpeed) * MILLI;
    return this.isFirst
      ? listingTime * FIRST_WAIT_SHARE
      : listingTime + this.random() * START_SPREAD * growth;
  }

  private readsForItself(clusterSize: number, now: number): boolean {
    return clusterSize <= SMALL_CLUSTER && now - this.startedAt > DISCOVERY_TIME;
  }

  private recent(now: number): Endpoint[] {
    return [...this.answeredAt]
      .filter(([, at]) => now - at <= this.recentTime)
      .map(([reader]) => reader);
  }

  /** Keeps the readers with the latest answers, in that order. */
  private note(reader: Endpoint, at: number): void {
    if (at <= (this.answeredAt.get(reader) ?? -Infinity)) {
      return;
    }
    this.answeredAt.delete(reader);
    this.answeredAt.set(reader, at);
    const ordered = [...this.answeredAt].sort(([, one], [, other]) => one - other);
    this.answeredAt.clear();
    ordered.slice(-READERS_NOTED).forEach(([key, value]) => this.answeredAt.set(key, value));
  }
}
