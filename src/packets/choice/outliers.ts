/**
 * Which targets of a service are far worse than the others. A service that is slow or fails as a
 * whole has no such target: each is compared with the median, so load and bad input set nobody aside.
 */
import { computeMedian } from './service-statistics';

/**
 * Points of a hundred by which a target's failures must exceed its service's median: more than a
 * stray failure or two bring with those successes that an agent assumes.
 */
const FAILURE_MARGIN_PERCENT = 30;
/** Part of that margin to which they must have come down again. */
const RESTORE_MARGIN_SHARE = 0.5;
/**
 * Times the median that an answer must take: then two requests may wait at any other target and be
 * answered sooner than one at this target while it is idle.
 */
const SLOW_FACTOR = 3;
/** Times the median to which it must have come down again. */
const RESTORE_SLOW_FACTOR = 2;
/** Milliseconds by which it must exceed the median besides: less is lost among the ways of packets. */
export const SLOW_MARGIN_MS = 10;
/** Answers of late that a time must rest on. */
export const MINIMUM_ANSWERS = 3;
const PERCENT = 100;

/** What is compared of one target. */
export interface ComparedTarget<Id> {
  readonly id: Id;
  /** 0 to 100. */
  readonly failurePercent: number;
  /** Milliseconds. */
  readonly answerTime: number;
  /** Answers of late that this time rests on. */
  readonly answers: number;
  /** Slow for a while after its start, which is no fault. */
  readonly isCold: boolean;
  /** Set aside so far. */
  readonly isSetAside: boolean;
}

/** Why a target is set aside: its figure and that of its service. */
export interface OutlierReason {
  /** `failing`: percent; `slow`: milliseconds. */
  readonly kind: 'failing' | 'slow';
  readonly figure: number;
  readonly median: number;
}

interface Outlier<Id> {
  readonly id: Id;
  readonly reason: OutlierReason;
  /** How far beyond the service, in margins of its kind; the worst are set aside first. */
  readonly excess: number;
}

/** Medians of a service. */
interface Medians {
  readonly failurePercent: number;
  /** Undefined while too few targets have told their time to compare any. */
  readonly answerTime: number | undefined;
}

/**
 * The targets of one service that are to be set aside, at most a share of all.
 * @param targets those that take new flows and are heard
 * @param share percent of them
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
