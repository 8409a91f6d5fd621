/**
 * Decides when an agent reports to all balancers ahead of schedule because load piles up at its
 * target: until its next report each of them would go on choosing this target by the last one.
 */

/** Minimum rise, in requests plus flows; less changes no selection. */
const MINIMUM_RISE = 8;
/** Minimum rise relative to the reported load. */
const RISE_SHARE = 0.25;
/** Minimum spacing of such reports. */
const MINIMUM_REPORT_INTERVAL_MS = 100;

/** Load spike detector of one agent. */
export class LoadSpikeDetector {
  private reportedLoad = 0;
  private reportedAt = -Infinity;

  /**
   * Whether the load is so far above the reported one that a report is due; it counts as sent then.
   * @param load open flows of the target plus its requests, waiting ones included
   * @param interval milliseconds in which every balancer has had a regular report
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
