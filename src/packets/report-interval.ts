/**
 * How often a balancer wants reports from each agent: the more agents it knows, the more
 * seldom, so that what it receives a second stays bounded.
 */

/** Milliseconds; agents look this often at who is due. */
export const SHORTEST_REPORT_INTERVAL = 250;
const LONGEST_REPORT_INTERVAL = 1_000;
/** Reports a second that a balancer wants at most, until the longest interval is reached. */
const REPORTS_PER_SECOND = 96;
const SECOND = 1_000;
/** Reports that may be missed before an agent counts as silent, with some time to spare. */
const INTERVALS_OF_SILENCE = 2.8;

/** Milliseconds between the reports of one agent, for a balancer that knows so many. */
export function reportInterval(agents: number): number {
  const wanted = (agents * SECOND) / REPORTS_PER_SECOND;
  const steps = Math.ceil(wanted / SHORTEST_REPORT_INTERVAL);
  const interval = Math.max(1, steps) * SHORTEST_REPORT_INTERVAL;
  return Math.min(LONGEST_REPORT_INTERVAL, interval);
}

/** Milliseconds without a report after which an agent counts as silent. */
export function silenceLimit(agents: number): number {
  return INTERVALS_OF_SILENCE * reportInterval(agents);
}
