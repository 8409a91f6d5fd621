/**
 * When an agent tells all balancers at once that its target has become crowded: until its next report
 * each of them would go on placing flows by what it said before, all at the same target.
 */

/** Requests and flows more than were told, at least: a few more change no choice. */
const MINIMUM_RISE = 8;
/** Part of what was told by which it must have risen. */
const RISE_SHARE = 0.25;
/** Milliseconds between two such reports at least. */
const MINIMUM_REPORT_INTERVAL_MS = 100;

/** The alarm of one agent. */
export class LoadSpikeDetector {
  private reportedLoad = 0;
  private reportedAt = -Infinity;

  /**
   * Whether a target has so much more than was told that a report is due; it counts as sent.
   * @param load its open flows and the requests that are there
   * @param interval milliseconds in which every balancer has had a usual report
   */
  shouldReport(load: number, now: number, interval: number): boolean {
    const age = now - this.reportedAt;
    if (age >= interval || load < this.reportedLoad) {
      this.recordReported(load, now);
      return false;
    }
    const rise = Math.max(MINIMUM_RISE, this.reportedLoad * RISE_SHARE);
    if (load < this.reportedLoad + rise || age < MINIMUM_REPORT_INTERVAL_MS) {
      return false;
    }
    this.recordReported(load, now);
    return true;
  }

  private recordReported(load: number, now: number): void {
    this.reportedLoad = load;
    this.reportedAt = now;
  }
}
