/**
 * When an agent tells all balancers at once that its target has become worse: the next report may be
 * half a second away, in which all of them would go on as before.
 */
import { SLOW_MARGIN } from './outliers';

/** Points of a hundred by which failures must have risen: two in a row bring less. */
const FAILURE_STEP = 25;
/** Times by which answers must take longer; see `CHANGE_FACTOR` of service-time. */
const TIME_FACTOR = 2;
/** Milliseconds between two such reports at least: as often as agents look who is due for one. */
const ALARM_INTERVAL = 250;

/** What an agent watches of its target. */
export interface TargetFigures {
  readonly answerTime: number;
  /** Answers of late that this time rests on. */
  readonly answers: number;
  /** 0 to 100. */
  readonly failurePercent: number;
}

/** The alarm of one agent. */
export class ReportAlarm {
  private failurePercent = 0;
  private answerTime: number | undefined;
  private raisedAt = -Infinity;

  /**
   * Whether figures are so much worse than those told that a report is due; it counts as sent.
   * @param interval milliseconds between usual reports: of many agents, each may tell less often
   */
  isDue(
    { answers, answerTime, failurePercent }: TargetFigures,
    now: number,
    interval = () => ALARM_INTERVAL,
  ): boolean {
    this.failurePercent = Math.min(this.failurePercent, failurePercent);
    if (answers > 0) {
      this.answerTime = Math.min(this.answerTime ?? answerTime, answerTime);
    }
    const fails = failurePercent >= this.failurePercent + FAILURE_STEP;
    if (!fails && !this.hasSlowed(answerTime)) {
      return false;
    }
    if (now - this.raisedAt < Math.max(ALARM_INTERVAL, interval())) {
      return false;
    }
    this.raisedAt = now;
    this.failurePercent = failurePercent;
    this.answerTime = this.answerTime === undefined ? undefined : answerTime;
    return true;
  }

  /** Whether an answer takes so much longer that targets could be told apart by it. */
  private hasSlowed(answerTime: number): boolean {
    const told = this.answerTime;
    return (
      told !== undefined && answerTime >= told * TIME_FACTOR && answerTime >= told + SLOW_MARGIN
    );
  }
}
