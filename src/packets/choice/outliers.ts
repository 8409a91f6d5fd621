/**
 * Detects targets that are far worse than the others of their service. Each is compared with the
 * median, so a service that is slow or fails as a whole, by load or bad input, has no outliers.
 */
import { computeMedian } from './service-statistics';

/**
 * Percentage points by which a target's failures must exceed the median of its service: more than a
 * stray failure or two add to the successes that an agent assumes.
 */
const FAILURE_MARGIN_PERCENT = 30;
/** Fraction of that margin below which an ejected target is restored. */
const RESTORE_MARGIN_SHARE = 0.5;
/**
 * Factor of the median answer time from which a target is slow: any other target then answers
 * sooner with two requests queued than this one does while idle.
 */
const SLOW_FACTOR = 3;
/** Factor of the median below which an ejected target is restored. */
const RESTORE_SLOW_FACTOR = 2;
/** Minimum excess over the median as well: less is lost in the variation of network latency. */
export const SLOW_MARGIN_MS = 10;
/** Recent answers that an answer time must be based on. */
export const MINIMUM_ANSWERS = 3;
const PERCENT = 100;

/** Metrics compared for one target. */
export interface ComparedTarget<Id> {
  readonly id: Id;
  /** 0 to 100. */
  readonly failurePercent: number;
  /** Milliseconds. */
  readonly answerTime: number;
  /** Recent answers behind this time. */
  readonly answers: number;
  /** Whether it is slow after its start, which is no fault. */
  readonly isCold: boolean;
  /** Whether it is ejected at present. */
  readonly isSetAside: boolean;
}

/** Why a target is ejected: its value and the median of its service. */
export interface OutlierReason {
  /** `failing`: percent; `slow`: milliseconds. */
  readonly kind: 'failing' | 'slow';
  readonly figure: number;
  readonly median: number;
}

interface Outlier<Id> {
  readonly id: Id;
  readonly reason: OutlierReason;
  /** Excess over the median, in margins of its kind; the worst are ejected first. */
  readonly excess: number;
}

/** Medians of a service. */
interface Medians {
  readonly failurePercent: number;
  /** Undefined while too few targets are timed to compare any. */
  readonly answerTime: number | undefined;
}

/**
 * Finds the targets of one service to eject, at most a share of all.
 * @param targets responsive targets that accept new flows
 * @param share percentage of them
 */
export function findOutliers<Id>(
  targets: readonly ComparedTarget<Id>[],
  share: number,
): Map<Id, OutlierReason> {
  const medians = computeMedians(targets);
  const outliers = targets.flatMap((target) => findOutlier(target, medians) ?? []);
  outliers.sort((one, other) => other.excess - one.excess);
  const maxCount = Math.floor((targets.length * share) / PERCENT);
  return new Map(outliers.slice(0, maxCount).map(({ id, reason }) => [id, reason]));
}

function computeMedians<Id>(targets: readonly ComparedTarget<Id>[]): Medians {
  const times = targets.filter((target) => isTimed(target)).map(({ answerTime }) => answerTime);
  const isComparable = times.length * 2 > targets.length;
  return {
    failurePercent: computeMedian(targets.map(({ failurePercent }) => failurePercent)) ?? 0,
    answerTime: isComparable ? computeMedian(times) : undefined,
  };
}

function isTimed<Id>({ answers, isCold }: ComparedTarget<Id>): boolean {
  return answers >= MINIMUM_ANSWERS && !isCold;
}

function findOutlier<Id>(target: ComparedTarget<Id>, medians: Medians): Outlier<Id> | undefined {
  const failing = findFailure(target, medians.failurePercent);
  return failing ?? findSlowness(target, medians.answerTime);
}

function findFailure<Id>(target: ComparedTarget<Id>, median: number): Outlier<Id> | undefined {
  const { id, failurePercent: figure, isSetAside } = target;
  const margin = FAILURE_MARGIN_PERCENT * (isSetAside ? RESTORE_MARGIN_SHARE : 1);
  const reason = { kind: 'failing', figure, median } as const;
  const excess = (figure - median) / FAILURE_MARGIN_PERCENT;
  return figure - median >= margin ? { id, reason, excess } : undefined;
}

function findSlowness<Id>(
  target: ComparedTarget<Id>,
  median: number | undefined,
): Outlier<Id> | undefined {
  const { id, answerTime: figure, isSetAside } = target;
  const factor = isSetAside ? RESTORE_SLOW_FACTOR : SLOW_FACTOR;
  const hasEnoughAnswers = isSetAside ? target.answers > 0 : isTimed(target);
  if (median === undefined || !hasEnoughAnswers) {
    return undefined;
  }
  if (figure < median * factor || figure < median + SLOW_MARGIN_MS) {
    return undefined;
  }
  const reason = { kind: 'slow', figure, median } as const;
  return { id, reason, excess: figure / (median * SLOW_FACTOR) };
}
