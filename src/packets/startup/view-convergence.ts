/**
 * Whether the initial view of a balancer may lack data that the store has lost.
 *
 * After the store is restored from a backup, the registry lacks the latest agents and the table may
 * be an earlier one until their writers write them again. A balancer that starts then would take
 * both for complete and reset living flows. The store's era alone does not tell how long ago the
 * restore was, but an agent that has run since an earlier era proves that there was one in its
 * time. So a starting balancer queries the agents, and where one reports an earlier era it resets
 * no flow until everything is written again. Otherwise, as after a total power loss, resets wait
 * only for the agents' replies: 100 ms instead of 3 s, so that clients of flows that no target
 * holds come back at once.
 */
import { REWRITE_TIME_MS } from '../store-position';

/** Time after the start in which agents reply: several round trips between zones. */
const AGENT_REPLY_WAIT_MS = 100;

/** Convergence of one balancer's initial view. */
export class ViewConvergence {
  private startedAt = 0;
  private earliestObservedEra = Infinity;

  start(now: number): void {
    this.startedAt = now;
  }

  /** Records an era of the store since which an agent has run. */
  recordObservedEra(era: number): void {
    this.earliestObservedEra = Math.min(this.earliestObservedEra, era);
  }

  /** Whether agents are to be queried for the eras they have seen. */
  shouldQueryAgents(now: number): boolean {
    return now - this.startedAt <= REWRITE_TIME_MS;
  }

  /**
   * Whether the view can no longer lack data for that reason.
   * @param era the store's era to which the view belongs
   */
  isConverged(era: number, now: number): boolean {
    const wasRestored = this.earliestObservedEra < era;
    return now - this.startedAt > (wasRestored ? REWRITE_TIME_MS : AGENT_REPLY_WAIT_MS);
  }
}
