/**
 * How often a balancer wants reports from each agent: the more agents it knows, the more
 * seldom, so that what it receives a second stays bounded.
 */

/** Milliseconds; agents look this often at who is due. */
export const MINIMUM_REPORT_INTERVAL_MS = 250;
const MAXIMUM_REPORT_INTERVAL_MS = 1_000;
/** Reports a second that a balancer wants at most, until the longest interval is reached. */
const MAXIMUM_REPORTS_PER_SECOND = 96;
const MS_PER_SECOND = 1_000;
/** Reports that may be missed before an agent counts as silent, with some time to spare. */
const SILENCE_INTERVALS = 2.8;

/** Milliseconds between the reports of one agent, for a balancer that knows so many. */
export function computeReportInterval(agents: number): number {
  const wanted = (agents * MS_PER_SECOND) / MAXIMUM_REPORTS_PER_SECOND;
  const steps = Math.ceil(wanted / MINIMUM_REPORT_INTERVAL_MS);
  const interval = Math.max(1, steps) * MINIMUM_REPORT_INTERVAL_MS;
  return Math.min(MAXIMUM_REPORT_INTERVAL_MS, interval);
}

/** Milliseconds without a report after which an agent counts as silent. */
export function computeSilenceTimeout(agents: number): number {
  return SILENCE_INTERVALS * computeReportInterval(agents);
}
