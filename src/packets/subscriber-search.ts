/**
 * Finds balancers again after all of an agent's subscriptions have expired.
 *
 * Balancers remove an agent that is cut off from them, and an agent without a subscriber reports to
 * nobody. After the cut neither side would know of the other.
 */
import type { NodeTimers } from './node-timers';

/** Time between reports to balancers that may not know this agent any more. */
const REPORT_INTERVAL_MS = 500;
/** Balancers remove the registry entry of an agent that has been silent for this long. */
const REMOVAL_SILENCE_MS = 12_000;
/** Time between registrations while no balancer subscribes, as there may be none. */
const REGISTRATION_INTERVAL_MS = 30_000;

/** Dependencies of the search. */
export interface SubscriberSearchDependencies {
  readonly timers: NodeTimers;
  now(): number;
  hasSubscribers(): boolean;
  /** Reports to the seeds and to balancers whose subscriptions have expired. */
  report(): void;
  /** Registers this agent, repeatedly until the store answers. */
  register(): void;
}

/** Search of one agent. */
export class SubscriberSearch {
  private subscribedAt: number;
  private registeredAt = -Infinity;

  constructor(private readonly dependencies: SubscriberSearchDependencies) {
    this.subscribedAt = dependencies.now();
  }

  start(): void {
    this.dependencies.timers.scheduleRepeating(REPORT_INTERVAL_MS, () => this.check());
  }

  private check(): void {
    const { hasSubscribers, now, register, report } = this.dependencies;
    const time = now();
    if (hasSubscribers()) {
      this.subscribedAt = time;
      return;
    }
    report();
    const isRemoved = time - this.subscribedAt > REMOVAL_SILENCE_MS;
    if (isRemoved && time - this.registeredAt > REGISTRATION_INTERVAL_MS) {
      this.registeredAt = time;
      register();
    }
  }
}
