/**
 * Detects whether an unresponsive target is dead.
 *
 * Silence is no proof: a target may pause for a second and then continue its flows. A closed port at
 * its address is proof: no process holds a flow any more, and clients must be notified at once. Until
 * then an unresponsive target gets no new flows, and its open ones are kept.
 */
import type { TargetProbePort } from './startup/target-presence';

/** Interval between probes of the address of a target that stays unresponsive. */
const PROBE_INTERVAL_MS = 500;

/** Liveness of one target. */
export class TargetLiveness {
  private isConfirmedDead = false;
  private isProbing = false;
  private probedAt = -Infinity;
  /** Packets and heartbeats received: a probe started before the latest one proves nothing. */
  private activityCount = 0;

  /** @param onDead called when the target is found to be dead */
  constructor(
    private readonly probePort: TargetProbePort,
    private readonly onDead: () => void,
  ) {}

  /** Whether a probe has found the target's port closed since its latest packet or heartbeat. */
  get isDead(): boolean {
    return this.isConfirmedDead;
  }

  /** Records a packet or heartbeat of the target. */
  recordActivity(): void {
    this.isConfirmedDead = false;
    this.activityCount++;
  }

  /** Probes an unresponsive target; to be called at regular intervals. */
  probeIfUnresponsive(isUnresponsive: boolean, now: number): void {
    if (
      !isUnresponsive ||
      this.isConfirmedDead ||
      this.isProbing ||
      now - this.probedAt < PROBE_INTERVAL_MS
    ) {
      return;
    }
    this.isProbing = true;
    this.probedAt = now;
    this.probe(() => (this.isProbing = false));
  }

  /** Probes the target at once; `done` is called after its result has been recorded. */
  probe(done: () => void): void {
    const { activityCount } = this;
    this.probePort.checkVacant((isPortClosed) => {
      const isDead = isPortClosed && activityCount === this.activityCount;
      if (isDead && !this.isConfirmedDead) {
        this.isConfirmedDead = true;
        this.onDead();
      }
      done();
    });
  }
}
