/** The rules by which an agent decides whether its target may get a packet. */
import {
  RefusalReason,
  TargetState,
  type RefusalReasonValue,
  type TargetStateValue,
} from './packet-messages';

/** Condition of the target when a packet arrives for it. */
export interface TargetCondition {
  readonly service: string;
  readonly state: TargetStateValue;
  /** It has answered no recent opening packet, and may only be paused. */
  readonly isDown: boolean;
  /** No process listens at its address any more: it holds no flow. */
  readonly isDead: boolean;
  /** It is down or dead, and may be probed with an opening packet now. */
  readonly isProbeDue: boolean;
  /** Another incarnation, of another service, may have replaced it. */
  readonly isServiceDisputed: boolean;
  /** Its zone is evacuated. */
  readonly isEvacuated: boolean;
  /** It may be warming up, and has recently got as many new flows as it can handle then. */
  readonly isAtColdLimit: boolean;
}

/**
 * Finds the reason why the target must not get a packet; undefined when it may.
 * @param opens whether the packet asks for a new flow
 * @param services services that the packet's route allows
 */
export function findRefusalReason(
  opens: boolean,
  services: readonly string[],
  target: TargetCondition,
): RefusalReasonValue | undefined {
  if (!services.includes(target.service)) {
    return RefusalReason.otherService;
  }
  if (opens) {
    return findOpeningRefusalReason(target);
  }
  return target.isDead ? RefusalReason.targetDown : undefined;
}

/** Finds the reason why the target must not get a new flow; undefined when it may. */
function findOpeningRefusalReason(target: TargetCondition): RefusalReasonValue | undefined {
  if ((target.isDown || target.isDead) && !target.isProbeDue) {
    return RefusalReason.targetDown;
  }
  if (target.isServiceDisputed) {
    return RefusalReason.otherService;
  }
  if (target.isEvacuated) {
    return RefusalReason.zoneEvacuated;
  }
  if (target.state === TargetState.gone) {
    return RefusalReason.noTarget;
  }
  if (target.state === TargetState.draining) {
    return RefusalReason.draining;
  }
  return target.isAtColdLimit ? RefusalReason.coldLimit : undefined;
}
