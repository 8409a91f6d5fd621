/**
 * When an agent tells all balancers at once that its target has become crowded: until its next report
 * each of them would go on placing flows by what it said before, all at the same target.
 */

/** Requests and flows more than were told, at least: a few more change no choice. */
const LEAST_RISE = 8;
/** Part of what was told by which it must have risen. */
const RISE_SHARE = 0.25;
/** Milliseconds between two such reports at least. */
const SPACING = 100;

/** The alarm of one agent. */
export class CrowdingAlarm {
  private told = 0;
  private toldAt = -Infinity;

  /**
   * Whether a target has so much more than was told that a report is due; it counts as sent.
   * @param held its open flows and the requests that are there
   * @param interval milliseconds in which every balancer has had a usual report
   */
  isDue(held: number, now: number, interval: number): boolean {
    const age = now - this.toldAt;
    if (age >= interval || held < this.told) {
      this.note(held, now);
      return false;
    }
    const rise = Math.max(LEAST_RISE, this.told * RISE_SHARE);
    if (held < this.told + rise || age < SPACING) {
      return false;
    }
    this.note(held, now);
    return true;
  }

  private note(held: number, now: number): void {
    this.told = held;
    this.toldAt = now;
  }
}
