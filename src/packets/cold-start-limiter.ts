/**
 * Limits the rate of new flows to a cold target: one that has just started, or returns to service
 * with its zone, is slow and can handle only a limited number per second.
 *
 * The limit holds across all balancers and for every period of a second, so only the agent, which
 * all new flows pass, can enforce it. Opening packets are always counted; the limit applies while
 * the target is or may be cold. Packets beyond it are refused, and the balancer tries another agent.
 */
import type { ServiceProfileView } from './service-profile-view';
import type { TargetLifecycle } from './target-lifecycle';

/**
 * Window in which new flows are counted: a second, and a margin for the path from the agent to its
 * target, which may bring two opening packets closer together.
 */
const WINDOW_MS = 1_050;

/** What operators allow beyond a service's own rate. */
export interface ColdStartLimitSettings {
  /** Factor for the service's rate. */
  readonly overshoot: number;
  /** Additional new flows per second. */
  readonly slack: number;
}

/** Limiter of one agent. */
export class ColdStartLimiter {
  /** Times of the new flows within the window, oldest first. */
  private openedAt: number[] = [];

  /**
   * @param settings undefined in a deployment without such limits
   * @param startedAt start time of this incarnation of the agent
   */
  constructor(
    private readonly target: TargetLifecycle,
    private readonly profiles: ServiceProfileView,
    private readonly settings: ColdStartLimitSettings | undefined,
    private readonly startedAt: number,
  ) {}

  /** Whether one more new flow now would exceed the limit of a cold target. */
  isReached(now: number): boolean {
    if (!this.settings || !this.target.mayBeCold(now)) {
      return false;
    }
    const limit = this.computeLimit(this.settings);
    if (limit < Infinity && this.mayMissOpenings(now)) {
      return true;
    }
    this.expire(now);
    return this.openedAt.length >= limit;
  }

  /** Records that an opening packet is forwarded to the target. */
  recordOpening(now: number): void {
    if (this.settings) {
      this.expire(now);
      this.openedAt.push(now);
    }
  }

  /** Whether an earlier incarnation of the agent may have forwarded new flows within the window. */
  private mayMissOpenings(now: number): boolean {
    const isNew = now - this.startedAt < WINDOW_MS;
    return isNew && !this.target.hasStartedSince(this.startedAt);
  }

  /** New flows per second; only the slack while no balancer has sent the service's rate. */
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
