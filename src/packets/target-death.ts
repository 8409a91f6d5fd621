/**
 * Whether a target that has fallen silent is dead.
 *
 * Silence proves nothing: a target may stand still for a second and go on with its flows. That nobody
 * listens at its address any more does prove it: then no process holds a flow, and clients are to be
 * told at once. Until then a silent target gets no new flows, and its open ones are left alone.
 */
import type { TargetProbePort } from './startup/target-presence';

/** Milliseconds between two looks at the address of a target that stays silent. */
const LOOK_INTERVAL = 500;

/** The death of one target. */
export class TargetDeath {
  private isVacant = false;
  private isLooking = false;
  private lookedAt = -Infinity;
  /** Times that the target was heard: a look that began before the latest proves nothing. */
  private timesHeard = 0;

  /** @param proved called when a death is proved */
  constructor(
    private readonly probe: TargetProbePort,
    private readonly proved: () => void,
  ) {}

  /** Whether nobody has listened at the target's address since it was heard last. */
  get isProved(): boolean {
    return this.isVacant;
  }

  /** The target has sent a packet or a heartbeat. */
  heard(): void {
    this.isVacant = false;
    this.timesHeard++;
  }

  /** To be called at regular intervals. */
  check(isSilent: boolean, now: number): void {
    if (!isSilent || this.isVacant || this.isLooking || now - this.lookedAt < LOOK_INTERVAL) {
      return;
    }
    this.isLooking = true;
    this.lookedAt = now;
    const { timesHeard } = this;
    this.probe.checkVacant((isVacant) => {
      this.isLooking = false;
      if (isVacant && timesHeard === this.timesHeard) {
        this.isVacant = true;
        this.proved();
      }
    });
  }
}
