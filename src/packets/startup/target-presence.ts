/**
 * Detects that an agent has no target when it has started and received nothing from one.
 *
 * A machine may come back with its agent and without its target. The agent's entry in the registry
 * would keep balancers from resetting flows that no target holds. Silence proves nothing, since
 * heartbeats may be late; a target address without a listener does: no process could hold a flow.
 * From then on the agent delivers nothing to the target until it receives something from it, so no
 * flow can open there undetected.
 */
import type { Environment, TimerHandle } from '../../environment';
import { Events } from '../../logging/events';

/** Missed heartbeats before the target's address is probed. */
const MISSED_HEARTBEATS_LIMIT = 2;
/** Minimum interval of probes triggered by packets: a client retransmits after 200 ms. */
const MINIMUM_PROBE_INTERVAL_MS = 100;

/** Probes the target's address for a listener. */
export interface TargetProbePort {
  /** Calls back with true only if the host reports that nobody listens; false otherwise. */
  checkVacant(callback: (isVacant: boolean) => void): void;
}

/** Dependencies of {@link TargetPresence}. */
export interface TargetPresenceDependencies {
  readonly environment: Environment;
  readonly probe: TargetProbePort;
  /** Heartbeat interval of a target in milliseconds. */
  readonly heartbeatInterval: number;
  /** Whether anything was received from the target in this incarnation of the agent. */
  isTargetHeard(): boolean;
  /** Called when there is no target. */
  onMissing(): void;
}

/** Presence of one target, in one incarnation of its agent. */
export class TargetPresence {
  private timer: TimerHandle | undefined;
  private isVacant = false;
  /** Whether a probe triggered by a packet found no listener. */
  private isProbedAbsent = false;
  private lastProbeAt = -Infinity;
  private isStopped = false;
  private sentProbes = 0;

  constructor(private readonly dependencies: TargetPresenceDependencies) {}

  /** Whether no target was found and nothing has been received from one since. */
  get isMissing(): boolean {
    return this.isVacant && !this.dependencies.isTargetHeard();
  }

  /**
   * Whether there is no target to deliver a packet to: {@link isMissing}, or a probe triggered by a
   * packet found no listener. No flow can open undetected before the target is heard from.
   */
  get isAbsent(): boolean {
    return (this.isVacant || this.isProbedAbsent) && !this.dependencies.isTargetHeard();
  }

  /** Number of probes sent. */
  get looks(): number {
    return this.sentProbes;
  }

  start(): void {
    this.scheduleCheck();
  }

  /** Cancels the timer; the result of a probe in flight is ignored. */
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
   * Probes for a packet to a target that nothing was received from, so that a search does not end
   * at a machine without a target. The entry stays, since the target may be starting.
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
   * Probes at once, since the agent is about to stop: the entry of an agent that never detected its
   * target's absence keeps balancers from resetting flows that no target holds.
   * @param done called when the result is known, or will not be
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
   * @param onPresent called when somebody listens, or the probe is inconclusive
   * @param onAbsent called when nobody listens
   */
  private sendProbe(onPresent: () => void, onAbsent: () => void): void {
    const { environment, isTargetHeard, onMissing, probe } = this.dependencies;
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
      onMissing();
      onAbsent();
    });
  }
}
