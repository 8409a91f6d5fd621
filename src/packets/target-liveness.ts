/**
 * Whether a target that has fallen silent is dead.
 *
 * Silence proves nothing: a target may stand still for a second and go on with its flows. That nobody
 * listens at its address any more does prove it: then no process holds a flow, and clients are to be
 * told at once. Until then a silent target gets no new flows, and its open ones are left alone.
 */
import type { TargetProbePort } from './startup/target-presence';

/** Milliseconds between two looks at the address of a target that stays silent. */
const PROBE_INTERVAL_MS = 500;

/** The death of one target. */
export class TargetLiveness {
  private isConfirmedDead = false;
  private isProbing = false;
  private probedAt = -Infinity;
  /** Times that the target was heard: a look that began before the latest proves nothing. */
  private activityCount = 0;

  /** @param onDead called when a death is proved */
  constructor(
    private readonly probe: TargetProbePort,
    private readonly onDead: () => void,
  ) {}

  /** Whether nobody has listened at the target's address since it was heard last. */
  get isDead(): boolean {
    return this.isConfirmedDead;
  }

  /** The target has sent a packet or a heartbeat. */
  recordActivity(): void {
    this.isConfirmedDead = false;
    this.activityCount++;
  }

  /** To be called at regular intervals. */
  probeIfSilent(isSilent: boolean, now: number): void {
    if (
      !isSilent ||
      this.isConfirmedDead ||
      this.isProbing ||
      now - this.probedAt < PROBE_INTERVAL_MS
    ) {
      return;
    }
    this.isProbing = true;
    this.probedAt = now;
    const { activityCount: activityCount } = this;
    this.probe.checkVacant((isPortClosed) => {
      this.isProbing = false;
      if (isPortClosed && activityCount === this.activityCount) {
        this.isConfirmedDead = true;
        this.onDead();
      }
    });
  }
}
