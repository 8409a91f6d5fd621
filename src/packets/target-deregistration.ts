/**
 * Handles the announcement of an agent's target that it shuts down, which the target may make many
 * seconds before its end.
 *
 * The announcement is acknowledged once the registry has recorded it. A target that has drained usually
 * ends at once, and is recorded only if it does not.
 */
import type { NodeTimers } from './node-timers';
import { TargetState } from './packet-messages';
import { PendingAcknowledgements } from './pending-acknowledgements';
import type { TargetIncarnation } from './target-incarnation';
import type { TargetLifecycle } from './target-lifecycle';

/** Time in which a target that has drained ends after its deregistration. */
const DRAINED_TARGET_END_MS = 1_000;

/** Dependencies of {@link TargetDeregistration}. */
export interface TargetDeregistrationDependencies {
  readonly target: TargetLifecycle;
  readonly timers: NodeTimers;
  /** Called when the target's state has changed. */
  onChanged(): void;
  /** Writes the registry entry again if it does not name {@link TargetDeregistration.recorded}. */
  updateEntry(): void;
}

/** Deregistration of one agent's target. */
export class TargetDeregistration {
  private readonly acknowledgements: PendingAcknowledgements;
  private isToBeRecorded = true;

  constructor(private readonly dependencies: TargetDeregistrationDependencies) {
    this.acknowledgements = new PendingAcknowledgements(dependencies.timers);
  }

  /** The deregistered incarnation that the registry entry is to name. */
  get recorded(): TargetIncarnation | undefined {
    return this.isToBeRecorded ? this.dependencies.target.deregistered : undefined;
  }

  /**
   * Handles the target's own announcement.
   * @param acknowledge called once the registry has recorded it, or after a limited time
   */
  handleAnnouncement(incarnation: TargetIncarnation, acknowledge: () => void): void {
    const { target, timers, updateEntry } = this.dependencies;
    const hasDrained = target.state === TargetState.draining;
    this.isToBeRecorded = !hasDrained;
    this.apply(incarnation);
    if (hasDrained) {
      acknowledge();
      timers.scheduleOnce(DRAINED_TARGET_END_MS, () => this.record());
      return;
    }
    this.acknowledgements.add(acknowledge);
    updateEntry();
  }

  /** Applies a deregistration that was announced to this agent or an earlier one. */
  apply(incarnation: TargetIncarnation): void {
    const { onChanged, target } = this.dependencies;
    if (target.applyDeregistration(incarnation) !== 'none') {
      onChanged();
    }
  }

  /** Acknowledges what is recorded now. */
  handleRecorded(): void {
    this.acknowledgements.deliver();
  }

  private record(): void {
    this.isToBeRecorded = true;
    this.dependencies.updateEntry();
  }
}
