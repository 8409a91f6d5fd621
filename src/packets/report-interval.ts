/**
 * Interval at which a balancer wants reports from each agent: it grows with the number of agents,
 * so that the rate of reports received stays bounded.
 */

/** Also the interval at which agents check which reports are due. */
export const MINIMUM_REPORT_INTERVAL_MS = 250;
const MAXIMUM_REPORT_INTERVAL_MS = 1_000;
/** Reports from all agents that a balancer wants, until the maximum interval is reached. */
const MAXIMUM_REPORTS_PER_SECOND = 96;
const MS_PER_SECOND = 1_000;
/** Report intervals before an agent counts as unresponsive: two lost reports, and a margin. */
const SILENCE_INTERVALS = 2.8;

/** Milliseconds between the reports of one agent, for a balancer that knows `agents` of them. */
export function computeReportInterval(agents: number): number {
  const wanted = (agents * MS_PER_SECOND) / MAXIMUM_REPORTS_PER_SECOND;
  const steps = Math.ceil(wanted / MINIMUM_REPORT_INTERVAL_MS);
  const interval = Math.max(1, steps) * MINIMUM_REPORT_INTERVAL_MS;
  return Math.min(MAXIMUM_REPORT_INTERVAL_MS, interval);
}

/** Milliseconds without a report after which an agent counts as unresponsive. */
export function computeSilenceTimeout(agents: number): number {
  return SILENCE_INTERVALS * computeReportInterval(agents);
}
