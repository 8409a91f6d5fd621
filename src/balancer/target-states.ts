/** States of targets, as gossip and agents reported them to this balancer. */
import { AgentState, type ServiceTargetNotice, type TargetNotice } from '../wire/messages';

/** Whether `update` is newer than `known`: by incarnation, then state sequence, then severity. */
function isNewer(update: TargetNotice, known: TargetNotice): boolean {
  if (update.incarnation !== known.incarnation) {
    return update.incarnation > known.incarnation;
  }
  if (update.stateSequence !== known.stateSequence) {
    return update.stateSequence > known.stateSequence;
  }
  return update.state > known.state;
}

/** Latest state notice per target; a target without one is taken to be serving. */
export class TargetStates {
  private readonly services = new Map<string, Map<string, TargetNotice>>();

  /** Applies a notice; returns true when it changed the recorded state. */
  apply(service: string, notice: TargetNotice): boolean {
    const targets = this.services.get(service) ?? new Map<string, TargetNotice>();
    const known = targets.get(notice.target);
    const isChange = known ? isNewer(notice, known) : notice.state !== AgentState.serving;
    if (!isChange) {
      return false;
    }
    targets.set(notice.target, notice);
    this.services.set(service, targets);
    return true;
  }

  get(service: string, target: string): TargetNotice | undefined {
    return this.services.get(service)?.get(target);
  }

  isServing(service: string, target: string): boolean {
    const notice = this.get(service, target);
    return notice === undefined || notice.state === AgentState.serving;
  }

  isStopped(service: string, target: string): boolean {
    return this.get(service, target)?.state === AgentState.stopped;
  }

  /** All recorded notices, for a joining balancer. */
  listAll(): ServiceTargetNotice[] {
    return [...this.services].flatMap(([service, targets]) =>
      [...targets.values()].map((notice) => ({ service, ...notice })),
    );
  }
}
