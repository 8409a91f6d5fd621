/**
 * Whether the view that a balancer has started with may lack what the store has lost.
 *
 * After the store's return from a copy the registry lacks the agents entered last, and the table may be
 * an earlier one, until their writers write them again. A balancer that starts then takes both for the
 * whole, and would tell clients that their living flows are dead. The store's era alone does not tell
 * it how long ago the return was, but an agent that has run since an earlier era does tell that there
 * was one in its time. So a balancer asks the agents when it starts, and where one says so it resets no
 * flow until everything is written again. Where no agent does, which is so after a loss of all power,
 * resets wait for the agents' word only: 100 ms in place of 3 s, so that clients of dead flows come
 * back at once.
 */
import { REWRITE_TIME_MS } from '../store-position';

/** Milliseconds after the start in which the agents' word comes: several round trips between zones. */
const AGENT_REPLY_WAIT_MS = 100;

/** The settling of one balancer's first view. */
export class ViewConvergence {
  private startedAt = 0;
  private earliestObservedEra = Infinity;

  start(now: number): void {
    this.startedAt = now;
  }

  /** An agent has run since an era of the store. */
  recordObservedEra(era: number): void {
    this.earliestObservedEra = Math.min(this.earliestObservedEra, era);
  }

  /** Whether agents are to tell which era they have seen. */
  shouldQueryAgents(now: number): boolean {
    return now - this.startedAt <= REWRITE_TIME_MS;
  }

  /**
   * Whether nothing can be missing from the view any more for that reason.
   * @param era the store's era as of which the view is known
   */
  isConverged(era: number, now: number): boolean {
    const wasRestored = this.earliestObservedEra < era;
    return now - this.startedAt > (wasRestored ? REWRITE_TIME_MS : AGENT_REPLY_WAIT_MS);
  }
}
