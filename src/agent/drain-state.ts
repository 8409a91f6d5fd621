/** The reasons why an agent drains, and the state that it announces. */
import type { Environment } from '../environment';
import { Events } from '../logging/events';
import { AgentState, type AgentStateValue } from '../wire/messages';

/** Reasons for draining. */
export type DrainReason = 'table' | 'machine-list' | 'stop' | 'backend-draining' | 'backend-silent';

/** A notice from the machine list expires after this, unless it is repeated. */
const MACHINE_NOTICE_LIFETIME_MS = 15_000;

/** State handed to the successor. */
export interface DrainStateSnapshot {
  readonly sequence: number;
  readonly reasons: readonly DrainReason[];
  readonly noticedAt: number;
}

/** Collects the reasons for draining; drains while there is any. */
export class DrainState {
  /** Increases with every change of state. */
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

  /** The active reasons, for status pages. */
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

  /** Records that the machine list marks this machine as leaving. */
  recordMachineLeaving(): void {
    this.noticedAt = this.environment.now();
    this.setReason('machine-list', true);
  }

  /** Marks the agent as stopped: it hosts nothing any more. */
  markStopped(): void {
    const before = this.state;
    this.isStopped = true;
    this.announceIfChanged(before, 'stop');
  }

  /** Announces that this agent is alive after it was reported dead. */
  refute(): void {
    this.sequence++;
    this.onChanged();
  }

  /** Exports the state without the reason `stop`: the successor does not stop. */
  exportState(): DrainStateSnapshot {
    const reasons = this.listReasons().filter((reason) => reason !== 'stop');
    return { sequence: this.sequence, reasons, noticedAt: this.noticedAt };
  }

  importState(state: DrainStateSnapshot): void {
    // One higher, so that a "stopped" announced before the handover is out of date.
    this.sequence = state.sequence + 1;
    this.noticedAt = state.noticedAt;
    state.reasons.forEach((reason) => this.reasons.add(reason));
  }

  /** Clears the reason `machine-list` once its notice has expired. */
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
