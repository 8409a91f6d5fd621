/**
 * How many new flows a cold target gets: one that has just started, or comes back into service with
 * its zone, is slow and bears only so many a second.
 *
 * The limit holds over all balancers and over every span of a second, so only the agent, through
 * which all of them come, can keep it. It counts opening packets at all times; the limit applies
 * while the target is cold or nobody knows whether it is. What goes beyond it is refused, and the
 * balancer offers it to another agent.
 */
import type { ServiceProfileView } from './service-profile-view';
import type { TargetLifecycle } from './target-lifecycle';

/**
 * Milliseconds over which openings are counted: a second, and a little more for the way from the
 * agent to its target, which may draw two openings closer together.
 */
const WINDOW_MS = 1_050;

/** What operators let pass beyond a service's own rate. */
export interface ColdStartLimitSettings {
  /** Times the service's rate. */
  readonly overshoot: number;
  /** New flows a second on top of that. */
  readonly slack: number;
}

/** The limit of one agent. */
export class ColdStartLimiter {
  /** Times of the openings of the last second, oldest first. */
  private openedAt: number[] = [];

  /**
   * @param settings undefined in a deployment without such limits
   * @param startedAt time at which this run of the agent began
   */
  constructor(
    private readonly target: TargetLifecycle,
    private readonly profiles: ServiceProfileView,
    private readonly settings: ColdStartLimitSettings | undefined,
    private readonly startedAt: number,
  ) {}

  /** Whether one more opening now would be more than a cold target bears. */
  isReached(now: number): boolean {
    if (!this.settings || !this.target.mayBeCold(now)) {
      return false;
    }
    const maximumOpenings = this.computeLimit(this.settings);
    if (maximumOpenings < Infinity && this.mayMissOpenings(now)) {
      return true;
    }
    this.expire(now);
    return this.openedAt.length >= maximumOpenings;
  }

  /** An opening is handed to the target. */
  recordOpening(now: number): void {
    if (this.settings) {
      this.expire(now);
      this.openedAt.push(now);
    }
  }

  /** Whether an earlier run of this agent may have handed the target openings in this second. */
  private mayMissOpenings(now: number): boolean {
    const isNew = now - this.startedAt < WINDOW_MS;
    return isNew && !this.target.hasStartedSince(this.startedAt);
  }

  /** Openings a second; only what holds for any rate while no balancer has told the rate. */
  private computeLimit({ overshoot, slack }: ColdStartLimitSettings): number {
    if (!this.profiles.isKnown) {
      return slack;
    }
    const rate = this.profiles.ownProfile?.coldRate ?? 0;
    return rate > 0 ? Math.floor(rate * overshoot + slack) : Infinity;
  }

  private expire(now: number): void {
    const kept = this.openedAt.findIndex((at) => at > now - WINDOW_MS);
    this.openedAt = kept === -1 ? [] : this.openedAt.slice(kept);
  }
}
