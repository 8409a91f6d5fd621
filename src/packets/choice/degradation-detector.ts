/**
 * When an agent tells all balancers at once that its target has become worse: the next report may be
 * half a second away, in which all of them would go on as before.
 */
import { SLOW_MARGIN_MS } from './outliers';

/** Points of a hundred by which failures must have risen: two in a row bring less. */
const FAILURE_RISE_PERCENT = 25;
/** Times by which answers must take longer; see `CHANGE_FACTOR` of service-time. */
const SLOWDOWN_FACTOR = 2;
/** Milliseconds between two such reports at least: as often as agents look who is due for one. */
const MINIMUM_REPORT_INTERVAL_MS = 250;

/** What an agent watches of its target. */
export interface TargetMetrics {
  readonly answerTime: number;
  /** Answers of late that this time rests on. */
  readonly answers: number;
  /** 0 to 100. */
  readonly failurePercent: number;
}

/** The alarm of one agent. */
export class DegradationDetector {
  private failurePercent = 0;
  private answerTime: number | undefined;
  private reportedAt = -Infinity;

  /**
   * Whether figures are so much worse than those told that a report is due; it counts as sent.
   * @param interval milliseconds between usual reports: of many agents, each may tell less often
   */
  shouldReport(
    { answers, answerTime, failurePercent }: TargetMetrics,
    now: number,
    interval = () => MINIMUM_REPORT_INTERVAL_MS,
  ): boolean {
    this.failurePercent = Math.min(this.failurePercent, failurePercent);
    if (answers > 0) {
      this.answerTime = Math.min(this.answerTime ?? answerTime, answerTime);
    }
    const hasFailureRise = failurePercent >= this.failurePercent + FAILURE_RISE_PERCENT;
    if (!hasFailureRise && !this.hasSlowed(answerTime)) {
      return false;
    }
    if (now - this.reportedAt < Math.max(MINIMUM_REPORT_INTERVAL_MS, interval())) {
      return false;
    }
    this.reportedAt = now;
    this.failurePercent = failurePercent;
    this.answerTime = this.answerTime === undefined ? undefined : answerTime;
    return true;
  }

  /** Whether an answer takes so much longer that targets could be told apart by it. */
  private hasSlowed(answerTime: number): boolean {
    const baseline = this.answerTime;
    return (
      baseline !== undefined &&
      answerTime >= baseline * SLOWDOWN_FACTOR &&
      answerTime >= baseline + SLOW_MARGIN_MS
    );
  }
}
