/** Statistics of a service over the reports of all its agents, to compare each target with. */
import type { AgentEntry } from '../agent-directory';

/** Answer time assumed while no target has reported one. */
export const DEFAULT_ANSWER_TIME_MS = 50;
/** Slots assumed for a target that has not reported their number. */
export const DEFAULT_SLOTS = 4;
/**
 * Weight of the service's median in a short-term estimate, in answers of the target: a single slow
 * answer moves the estimate half of the way.
 */
const SHORT_TERM_PRIOR_ANSWERS = 1;
/**
 * The same in a long-term estimate: the mean of so many answer times, whose standard deviation
 * equals their mean, is off by a third.
 */
const LONG_TERM_PRIOR_ANSWERS = 10;
/**
 * Targets within this factor of the median count as equally fast: all balancers see the same
 * reports, and would all prefer a target that has recently had some easy requests.
 */
const EQUAL_SPEED_FACTOR = 1.5;
/**
 * Factor of the median plus the slots beyond which a long queue is particular to its target: in a
 * service at 75% utilization one queue in a hundred is as long by chance.
 */
const LONG_QUEUE_FACTOR = 3;
/** Quantile of the answer times that is assumed for a target without one. */
const UNTIMED_QUANTILE = 0.75;

/** Statistics of one service as known to this balancer. */
export interface ServiceStatistics {
  /** Median answer time in milliseconds. */
  readonly answerTime: number;
  /**
   * Requests expected at an agent without a recent report, waiting ones included: the mean, with
   * long queues capped since they say little about other targets.
   */
  readonly typicalBusyRequests: number;
  /** Mean queueing time in milliseconds. */
  readonly meanWait: number;
  /**
   * Answer time in milliseconds assumed for a target without one: the upper quartile of the others,
   * or the median while most have none.
   */
  readonly untimedAnswerTime: number;
  /** Fraction of the service's slots in use, 0 to 1. */
  readonly utilization: number;
  /** Mean number of open flows per agent. */
  readonly meanOpenFlows: number;
  /** Mean lifetime of a flow in milliseconds; infinite while no new flows are known. */
  readonly meanFlowLifetime: number;
  /** Balancers that agents report to, this one included. */
  readonly balancers: number;
}

/**
 * Computes the statistics from the reports of agents that accept new flows.
 * @param openingRate new flows per millisecond that this balancer places with them
 */
export function computeServiceStatistics(
  entries: readonly AgentEntry[],
  openingRate: number,
): ServiceStatistics {
  const times: number[] = [];
  const busyCounts: number[] = [];
  let agents = 0;
  let busy = 0;
  let flows = 0;
  let slots = 0;
  let slotsInUse = 0;
  let balancers = 1;
  for (const { report } of entries) {
    if (!report) {
      continue;
    }
    agents++;
    busy += report.busyRequests;
    busyCounts.push(report.busyRequests);
    const targetSlots = report.slots || DEFAULT_SLOTS;
    slots += targetSlots;
    slotsInUse += Math.min(report.busyRequests, targetSlots);
    flows += report.openFlows;
    balancers = Math.max(balancers, report.balancerCount);
    if (report.answers > 0 && report.answerTime > 0) {
      times.push(report.answerTime);
    }
  }
  const answerTime = computeMedian(times) ?? DEFAULT_ANSWER_TIME_MS;
  return {
    answerTime,
    meanWait: slots > 0 ? (busy / slots) * answerTime : 0,
    untimedAnswerTime:
      times.length * 2 > agents ? computeQuantile(times, UNTIMED_QUANTILE)! : answerTime,
    utilization: slots > 0 ? slotsInUse / slots : 0,
    typicalBusyRequests: computeTypicalBusyRequests(busyCounts, slots / Math.max(1, agents)),
    meanOpenFlows: flows / Math.max(1, agents),
    // Little's law: open flows equal the rate of new flows times their lifetime.
    meanFlowLifetime: openingRate > 0 ? flows / (openingRate * balancers) : Infinity,
    balancers,
  };
}

/**
 * Estimates the answer time of a target in milliseconds. The fewer recent answers it has, the more
 * the service's median counts, so a slow target without flows is tried again after a while.
 */
export function estimateAnswerTime(entry: AgentEntry, statistics: ServiceStatistics): number {
  return blendWithServiceMedian(entry, statistics, SHORT_TERM_PRIOR_ANSWERS);
}

/**
 * Estimates the answer time in milliseconds for decisions that last for hours: the first few
 * answers vary by far more than targets do, so they weigh less.
 */
export function estimateLongTermAnswerTime(
  entry: AgentEntry,
  statistics: ServiceStatistics,
): number {
  const { answers = 0 } = entry.report ?? {};
  return answers > 0
    ? blendWithServiceMedian(entry, statistics, LONG_TERM_PRIOR_ANSWERS)
    : statistics.untimedAnswerTime;
}

/** @param priorAnswers weight of the service's median, in answers of the target */
function blendWithServiceMedian(
  entry: AgentEntry,
  statistics: ServiceStatistics,
  priorAnswers: number,
): number {
  const answers = entry.report?.answers ?? 0;
  const reportedTime = entry.report?.answerTime ?? 0;
  const sum = answers * reportedTime + priorAnswers * statistics.answerTime;
  const expected = sum / (answers + priorAnswers);
  const ratio = expected / statistics.answerTime;
  return ratio < EQUAL_SPEED_FACTOR && ratio > 1 / EQUAL_SPEED_FACTOR
    ? statistics.answerTime
    : expected;
}

/** Number of requests that a target serves concurrently. */
export function getSlots(entry: AgentEntry): number {
  return entry.report?.slots || DEFAULT_SLOTS;
}

function computeTypicalBusyRequests(counts: readonly number[], slots: number): number {
  const limit = LONG_QUEUE_FACTOR * ((computeMedian(counts) ?? 0) + slots);
  const sum = counts.reduce((total, count) => total + Math.min(count, limit), 0);
  return sum / Math.max(1, counts.length);
}

/** The lower median, so that a service is never judged by its worse half. */
export function computeMedian(values: readonly number[]): number | undefined {
  return computeQuantile(values, 0.5);
}

/** The lower quantile of some values, by a fraction of 0 to 1; undefined without any. */
function computeQuantile(values: readonly number[], fraction: number): number | undefined {
  const sorted = Float64Array.from(values).sort();
  return sorted[Math.floor((sorted.length - 1) * fraction)];
}
