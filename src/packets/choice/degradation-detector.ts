/**
 * Decides when an agent reports to all balancers ahead of schedule because its target has degraded:
 * until the next regular report, up to half a second later, all would go on as before.
 */
import { SLOW_MARGIN_MS } from './outliers';

/** Percentage points by which failures must rise; two failures in a row add less. */
const FAILURE_RISE_PERCENT = 25;
/** Factor by which the answer time must rise; see `CHANGE_FACTOR` of service-time-estimator. */
const SLOWDOWN_FACTOR = 2;
/** Minimum spacing of such reports; agents check as often which reports are due. */
const MINIMUM_REPORT_INTERVAL_MS = 250;

/** Metrics of a target that are watched for degradation. */
export interface TargetMetrics {
  readonly answerTime: number;
  /** Recent answers behind this time. */
  readonly answers: number;
  /** 0 to 100. */
  readonly failurePercent: number;
}

/** Degradation detector of one agent. */
export class DegradationDetector {
  private baselineFailurePercent = 0;
  private baselineAnswerTime: number | undefined;
  private reportedAt = -Infinity;

  /**
   * Whether metrics are so much worse than reported that a report is due; they count as sent then.
   * @param interval milliseconds between regular reports, longer with many agents
   */
  shouldReport(
    { answers, answerTime, failurePercent }: TargetMetrics,
    now: number,
    interval = () => MINIMUM_REPORT_INTERVAL_MS,
  ): boolean {
    this.baselineFailurePercent = Math.min(this.baselineFailurePercent, failurePercent);
    if (answers > 0) {
      this.baselineAnswerTime = Math.min(this.baselineAnswerTime ?? answerTime, answerTime);
    }
    const hasFailureRise = failurePercent >= this.baselineFailurePercent + FAILURE_RISE_PERCENT;
    if (!hasFailureRise && !this.hasSlowed(answerTime)) {
      return false;
    }
    if (now - this.reportedAt < Math.max(MINIMUM_REPORT_INTERVAL_MS, interval())) {
      return false;
    }
    this.reportedAt = now;
    this.baselineFailurePercent = failurePercent;
    this.baselineAnswerTime = this.baselineAnswerTime === undefined ? undefined : answerTime;
    return true;
  }

  /** Whether the answer time has risen by enough to tell targets apart by it. */
  private hasSlowed(answerTime: number): boolean {
    const baseline = this.baselineAnswerTime;
    return (
      baseline !== undefined &&
      answerTime >= baseline * SLOWDOWN_FACTOR &&
      answerTime >= baseline + SLOW_MARGIN_MS
    );
  }
}
