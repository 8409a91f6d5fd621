/** The balancers that an agent reports to: those that subscribed or sent packets recently. */
import type { Endpoint } from '../environment';
import { MINIMUM_REPORT_INTERVAL_MS } from './report-interval';

const SUBSCRIPTION_LIFETIME_MS = 5_000;
const MAXIMUM_SUBSCRIBERS = 2_000;
/** One that still runs is enough: balancers tell each other of agents. */
const MAXIMUM_FORMER_SUBSCRIBERS = 8;
/** Timers fire a little early or late. */
const TIMER_TOLERANCE_MS = 20;

interface Subscriber {
  seenAt: number;
  /** Requested milliseconds between reports. */
  interval: number;
  reportedAt: number;
}

/** Subscribers of one agent. */
export class Subscribers {
  private readonly subscribers = new Map<Endpoint, Subscriber>();
  private formerSubscribers: readonly Endpoint[] = [];

  /**
   * @param interval milliseconds between reports; unchanged, or the minimum, when undefined
   * @returns whether the balancer is a new subscriber
   */
  renew(balancer: Endpoint, now: number, interval?: number): boolean {
    const known = this.subscribers.get(balancer);
    if (known) {
      known.seenAt = now;
      known.interval = interval ?? known.interval;
    } else if (this.subscribers.size < MAXIMUM_SUBSCRIBERS) {
      const wanted = interval ?? MINIMUM_REPORT_INTERVAL_MS;
      this.subscribers.set(balancer, { seenAt: now, interval: wanted, reportedAt: now });
    }
    return !known;
  }

  /** Number of subscribers, including expired ones that are not removed yet. */
  get count(): number {
    return this.subscribers.size;
  }

  /** The balancers whose subscriptions expired last, latest first. */
  get former(): readonly Endpoint[] {
    return this.formerSubscribers;
  }

  /** Longest interval of any subscriber in milliseconds; 0 without subscribers. */
  get longestInterval(): number {
    let longest = 0;
    for (const { interval } of this.subscribers.values()) {
      longest = Math.max(longest, interval);
    }
    return longest;
  }

  /** The active subscribers; removes expired ones. */
  listActive(now: number): Endpoint[] {
    for (const [balancer, { seenAt }] of this.subscribers) {
      if (now - seenAt > SUBSCRIPTION_LIFETIME_MS) {
        this.subscribers.delete(balancer);
        const others = this.formerSubscribers.filter((one) => one !== balancer);
        this.formerSubscribers = [balancer, ...others].slice(0, MAXIMUM_FORMER_SUBSCRIBERS);
      }
    }
    return [...this.subscribers.keys()];
  }

  /** The active subscribers whose interval has elapsed; they count as reported to now. */
  takeDue(now: number): Endpoint[] {
    return this.listActive(now).filter((balancer) => {
      const subscriber = this.subscribers.get(balancer)!;
      const isDue = now - subscriber.reportedAt >= subscriber.interval - TIMER_TOLERANCE_MS;
      subscriber.reportedAt = isDue ? now : subscriber.reportedAt;
      return isDue;
    });
  }
}
