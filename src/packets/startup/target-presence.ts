/**
 * Whether there is a target beside an agent that has started and heard nothing of any.
 *
 * The machine of a target that has left may come back with an agent and no target. Its entry in the
 * registry would keep balancers from telling clients that their flows are dead. Silence proves nothing,
 * since heartbeats may come late; that nobody listens at the target's address does: there is no process
 * that could hold a flow. From then on until the target is heard the agent hands nothing to it, so
 * no flow can open there unseen.
 */
import type { Environment, TimerHandle } from '../../environment';
import { Events } from '../../logging/events';

/** Heartbeats that may be missed before the target's address is looked at. */
const MISSED_HEARTBEATS_LIMIT = 2;
/** Milliseconds between two looks that packets ask for: a client repeats its packet after 200. */
const MINIMUM_PROBE_INTERVAL_MS = 100;

/** Looks whether anybody listens at the target's address. */
export interface TargetProbePort {
  /** Answers true only if the machine says that nobody does; false for anything else. */
  checkVacant(answer: (isVacant: boolean) => void): void;
}

/** What the presence is judged with. */
export interface TargetPresenceDependencies {
  readonly environment: Environment;
  readonly probe: TargetProbePort;
  /** Milliseconds between two heartbeats of a target. */
  readonly heartbeatInterval: number;
  /** Whether the target has said or sent anything in this run of the agent. */
  isTargetHeard(): boolean;
  /** There is no target. */
  onMissing(): void;
}

/** The presence of one target, in one run of its agent. */
export class TargetPresence {
  private timer: TimerHandle | undefined;
  private isVacant = false;
  /** A look that a packet asked for has found nobody. */
  private isProbedAbsent = false;
  private lastProbeAt = -Infinity;
  private isStopped = false;
  private sentProbes = 0;

  constructor(private readonly dependencies: TargetPresenceDependencies) {}

  /** Whether there is no target, and has been none since that was found out. */
  get isMissing(): boolean {
    return this.isVacant && !this.dependencies.isTargetHeard();
  }

  /**
   * Whether there is no target to hand a packet to, as {@link isMissing} or by a look that a packet
   * asked for. The agent hands nothing over then, so no flow can open unseen before it hears its target.
   */
  get isAbsent(): boolean {
    return (this.isVacant || this.isProbedAbsent) && !this.dependencies.isTargetHeard();
  }

  /** Looks taken at the target's address. */
  get looks(): number {
    return this.sentProbes;
  }

  start(): void {
    this.scheduleCheck();
  }

  /** Ends the timer; a look under way changes nothing any more. */
  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
  }

  private scheduleCheck(): void {
    const { environment, heartbeatInterval } = this.dependencies;
    this.timer = environment.startTimer(MISSED_HEARTBEATS_LIMIT * heartbeatInterval, () =>
      this.check(),
    );
  }

  /**
   * A packet is to go to a target that has not been heard: looks whether there is one, so that a search
   * does not end at a machine without a target. The entry stays, since the target may be starting.
   */
  probeForPacket(): void {
    const { environment, isTargetHeard, probe } = this.dependencies;
    const now = environment.now();
    if (isTargetHeard() || this.isAbsent || now - this.lastProbeAt < MINIMUM_PROBE_INTERVAL_MS) {
      return;
    }
    this.lastProbeAt = now;
    this.sentProbes++;
    probe.checkVacant((isVacant) => {
      this.isProbedAbsent = isVacant;
    });
  }

  /**
   * Looks at once, since the agent is about to stop: an entry of an agent that has never found out
   * keeps balancers from telling that flows are dead.
   * @param done called when it is known, or will not be
   */
  probeBeforeStop(done: () => void): void {
    if (this.isVacant || this.dependencies.isTargetHeard()) {
      done();
      return;
    }
    this.timer?.cancel();
    this.sendProbe(done, done);
  }

  private check(): void {
    if (!this.dependencies.isTargetHeard()) {
      this.sendProbe(
        () => this.scheduleCheck(),
        () => undefined,
      );
    }
  }

  /**
   * @param onPresent called when somebody listens, or the look proves nothing
   * @param onAbsent called when nobody does
   */
  private sendProbe(onPresent: () => void, onAbsent: () => void): void {
    const { environment, isTargetHeard, onMissing: missed, probe } = this.dependencies;
    this.sentProbes++;
    probe.checkVacant((isVacant) => {
      if (this.isStopped) {
        return;
      }
      if (!isVacant || isTargetHeard()) {
        onPresent();
        return;
      }
      if (this.isVacant) {
        onAbsent();
        return;
      }
      this.isVacant = true;
      environment.report(Events.targetMissing, { looks: this.sentProbes });
      missed();
      onAbsent();
    });
  }
}
