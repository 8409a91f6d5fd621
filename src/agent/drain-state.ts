/** Why an agent takes no new work, and its state as others see it. */
import type { Environment } from '../environment';
import { Events } from '../logging/events';
import { AgentState, type AgentStateValue } from '../wire/messages';

/** Signs that a target is leaving. */
export type DrainReason = 'table' | 'machine-list' | 'stop' | 'backend-draining' | 'backend-silent';

/** A notice of the machine list holds for so long, unless it is repeated. */
const MACHINE_NOTICE_LIFETIME_MS = 15_000;

/** What a successor needs to go on. */
export interface DrainStateSnapshot {
  readonly sequence: number;
  readonly reasons: readonly DrainReason[];
  readonly noticedAt: number;
}

/** Collects the reasons; drains while there is any. */
export class DrainState {
  /** Rises with every change of state. */
  sequence = 0;
  private readonly reasons = new Set<DrainReason>();
  private noticedAt = -Infinity;
  private isStopped = false;

  /** @param isEnabled false in a simulation without drains */
  constructor(
    private readonly environment: Environment,
    private readonly isEnabled: boolean,
    private readonly onChanged: () => void,
  ) {}

  get state(): AgentStateValue {
    if (this.isStopped) {
      return AgentState.stopped;
    }
    return this.reasons.size > 0 && this.isEnabled ? AgentState.draining : AgentState.serving;
  }

  /** The reasons in force, for status pages. */
  listReasons(): readonly DrainReason[] {
    return [...this.reasons].sort();
  }

  /** Sets or clears one reason. */
  setReason(reason: DrainReason, isActive: boolean): void {
    const before = this.state;
    if (isActive) {
      this.reasons.add(reason);
    } else {
      this.reasons.delete(reason);
    }
    this.announceIfChanged(before, reason);
  }

  /** The machine list has this machine as leaving. */
  recordMachineLeaving(): void {
    this.noticedAt = this.environment.now();
    this.setReason('machine-list', true);
  }

  /** The agent ends: nothing is hosted here any more. */
  markStopped(): void {
    const before = this.state;
    this.isStopped = true;
    this.announceIfChanged(before, 'stop');
  }

  /** Tells the group again that this agent lives, after it was called dead. */
  refute(): void {
    this.sequence++;
    this.onChanged();
  }

  /** The state without the reason `stop`: the successor does not stop. */
  exportState(): DrainStateSnapshot {
    const reasons = this.listReasons().filter((reason) => reason !== 'stop');
    return { sequence: this.sequence, reasons, noticedAt: this.noticedAt };
  }

  importState(state: DrainStateSnapshot): void {
    // One further, so that a "stop" said before the hand-over is out of date.
    this.sequence = state.sequence + 1;
    this.noticedAt = state.noticedAt;
    state.reasons.forEach((reason) => this.reasons.add(reason));
  }

  /** Periodic housekeeping. */
  expireMachineNotice(): void {
    if (this.environment.now() - this.noticedAt > MACHINE_NOTICE_LIFETIME_MS) {
      this.setReason('machine-list', false);
    }
  }

  private announceIfChanged(before: AgentStateValue, reason: DrainReason): void {
    const after = this.state;
    if (after === before) {
      return;
    }
    this.sequence++;
    const event = after === AgentState.serving ? Events.drainEnded : Events.drainStarted;
    this.environment.report(event, { reason });
    this.onChanged();
  }
}
