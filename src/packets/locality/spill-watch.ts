/** Which services spill much of their new flows from a balancer's zone. */
import type { SpillReasonValue } from './spill';

/** Part of a service's new flows above which it counts as spilling. */
const SPILLING_SHARE = 0.1;
/** Milliseconds between two looks at a service, and between two changes told at least. */
const WATCH_INTERVAL = 1_000;
/** New flows below which a share says little. */
const FLOWS_NEEDED = 20;

/** A service has begun or ended to spill. */
export interface SpillChange {
  readonly service: string;
  readonly isSpilling: boolean;
  /** New flows since the last look. */
  readonly flows: number;
  readonly spilled: number;
  /** Of the last flow that spilled; undefined when none did. */
  readonly reason: SpillReasonValue | undefined;
}

/** What is counted of one service. */
interface ServiceSpill {
  isSpilling: boolean;
  since: number;
  flows: number;
  spilled: number;
  reason: SpillReasonValue | undefined;
}

/** The watch of one balancer. */
export class SpillWatch {
  private readonly services = new Map<string, ServiceSpill>();
  private toldAt = -Infinity;

  /**
   * Counts a new flow.
   * @param reason undefined when it stays in its zone
   * @returns a change that is to be told
   */
  note(
    service: string,
    reason: SpillReasonValue | undefined,
    now: number,
  ): SpillChange | undefined {
    const counted = this.services.get(service) ?? createCounts(now, false);
    this.services.set(service, counted);
    counted.flows++;
    counted.spilled += reason === undefined ? 0 : 1;
    counted.reason = reason ?? counted.reason;
    if (counted.flows < FLOWS_NEEDED || now - counted.since < WATCH_INTERVAL) {
      return undefined;
    }
    return this.conclude(service, counted, now);
  }

  private conclude(service: string, counted: ServiceSpill, now: number): SpillChange | undefined {
    const { flows, spilled, reason } = counted;
    const isSpilling = spilled > SPILLING_SHARE * flows;
    const hasChanged = isSpilling !== counted.isSpilling;
    if (hasChanged && now - this.toldAt < WATCH_INTERVAL) {
      return undefined;
    }
    this.services.set(service, createCounts(now, isSpilling));
    if (!hasChanged) {
      return undefined;
    }
    this.toldAt = now;
    return { service, isSpilling, flows, spilled, reason };
  }
}

function createCounts(since: number, isSpilling: boolean): ServiceSpill {
  return { isSpilling, since, flows: 0, spilled: 0, reason: undefined };
}
