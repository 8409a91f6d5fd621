/** Identity of a target's incarnations: a target may restart under the name that it had. */

/** Identifies an incarnation of a target, from its start to its end. */
export interface TargetIncarnation {
  /** Name that the target gives itself; it may keep it across restarts. */
  readonly incarnation: string;
  /** Unix time of its start in milliseconds; undefined if the target does not send it. */
  readonly born?: number | undefined;
}

/** Key that is unique for each incarnation of a target. */
export function createIncarnationKey({ incarnation, born }: TargetIncarnation): string {
  return born === undefined ? incarnation : `${incarnation} ${born}`;
}

/** Whether two are the same incarnation; without start times the names decide. */
export function isSameIncarnation(one: TargetIncarnation, other: TargetIncarnation): boolean {
  const areStartsKnown = one.born !== undefined && other.born !== undefined;
  return one.incarnation === other.incarnation && (!areStartsKnown || one.born === other.born);
}

/** Whether two registry entries name the same deregistered incarnation, or both none. */
export function isSameDeregistration(
  one: TargetIncarnation | undefined,
  other: TargetIncarnation | undefined,
): boolean {
  return one === undefined || other === undefined ? one === other : isSameIncarnation(one, other);
}

/** Whether the first has the earlier start time; false if either is unknown. */
export function hasStartedBefore(one: TargetIncarnation, other: TargetIncarnation): boolean {
  return one.born !== undefined && other.born !== undefined && one.born < other.born;
}
