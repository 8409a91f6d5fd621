/** What the reports of all agents of a service say together, by which each of them is judged. */
import type { AgentEntry } from '../agent-directory';

/** Milliseconds of an answer assumed where no target has told it. */
export const DEFAULT_ANSWER_TIME_MS = 50;
/** Slots assumed for a target that has not said how many it has. */
export const DEFAULT_SLOTS = 4;
/**
 * Answers of a target for which the service's own figure counts beside them: one answer that takes
 * long moves the estimate half of the way.
 */
const SHORT_TERM_PRIOR_ANSWERS = 1;
/**
 * The same where a difference counts for long: the mean of so many answers, whose times spread as
 * widely as they are long, is off by a third of it.
 */
const LONG_TERM_PRIOR_ANSWERS = 10;
/**
 * Times the median within which targets count as equally fast. All balancers hear the same figures,
 * so each would send its flows to whichever target has lately had some easy requests.
 */
const EQUAL_SPEED_FACTOR = 1.5;
/**
 * Times the median, and the slots, beyond which a target's queue is its own: in a service that is busy for
 * three quarters of its time one queue in a hundred is as long by chance.
 */
const LONG_QUEUE_FACTOR = 3;
/** A target that has not been timed is taken to be as slow as the quicker of the slowest quarter. */
const UNTIMED_QUANTILE = 0.75;

/** The state of one service as this balancer knows it. */
export interface ServiceStatistics {
  /** Median time of an answer, in milliseconds. */
  readonly answerTime: number;
  /**
   * Number of requests to be expected at an agent of which nothing recent is known, waiting ones included:
   * the mean, in which a few targets with long queues count for no more than they tell of the others.
   */
  readonly typicalBusyRequests: number;
  /** Milliseconds that a request waits in the mean. */
  readonly meanWait: number;
  /**
   * Milliseconds of an answer assumed at a target that has not been timed: those of the slower quarter
   * of the others, or the median while most have not been timed either.
   */
  readonly untimedAnswerTime: number;
  /** Part of its slots that the service has in use, 0 to 1. */
  readonly utilization: number;
  /** Mean number of open flows at an agent. */
  readonly meanOpenFlows: number;
  /** Milliseconds for which a flow stays open in the mean; infinite while no openings are known. */
  readonly meanFlowLifetime: number;
  /** Balancers that agents report to, this one included. */
  readonly balancers: number;
}

/**
 * The outlook by the reports of some agents that take new flows.
 * @param openingRate new flows that this balancer places with them in a millisecond
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
    // Little's law: as many are open as begin in the time for which one stays open.
    meanFlowLifetime: openingRate > 0 ? flows / (openingRate * balancers) : Infinity,
    balancers,
  };
}

/**
 * Milliseconds of an answer at one target: the fewer answers it has given of late, the more the
 * service's median counts. So a slow target that gets no flows is tried again after a while.
 */
export function estimateAnswerTime(entry: AgentEntry, statistics: ServiceStatistics): number {
  return blendWithServiceMedian(entry, statistics, SHORT_TERM_PRIOR_ANSWERS);
}

/**
 * The same as far as it is sure: what a target does for hours to come is not to be judged by its first
 * few answers, which differ by far more than targets do.
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

/** @param priorAnswers answers by which the service's own figure counts beside the target's */
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

/** Requests that a target works on at a time. */
export function getSlots(entry: AgentEntry): number {
  return entry.report?.slots || DEFAULT_SLOTS;
}

function computeTypicalBusyRequests(counts: readonly number[], slots: number): number {
  const limit = LONG_QUEUE_FACTOR * ((computeMedian(counts) ?? 0) + slots);
  const sum = counts.reduce((total, count) => total + Math.min(count, limit), 0);
  return sum / Math.max(1, counts.length);
}

/** The lower median, so that half of a service is never judged by its worse half. */
export function computeMedian(values: readonly number[]): number | undefined {
  return computeQuantile(values, 0.5);
}

/** The lower of the values that a part of them, 0 to 1, does not exceed; undefined without any. */
function computeQuantile(values: readonly number[], fraction: number): number | undefined {
  const sorted = Float64Array.from(values).sort();
  return sorted[Math.floor((sorted.length - 1) * fraction)];
}
