/** The environment of a real process: its monotonic clock, timers, random source and log. */
import type { Environment, TimerHandle } from '../environment';
import type { EventFields, EventKind } from '../logging/events';

/**
 * Offset from this process's clock to the machine's monotonic clock, which all processes
 * of the machine share, so that times stay valid after a handover to a successor.
 */
const MACHINE_CLOCK_OFFSET_MS = Number(process.hrtime.bigint()) / 1e6 - performance.now();

/** The log of a process, which records numbered events. */
export interface EventReporter {
  report(event: EventKind, fields: EventFields): void;
}

/** Environment based on Node's clock and timers. */
export class RealEnvironment implements Environment {
  private readonly timers = new Set<NodeJS.Timeout>();

  constructor(private readonly log: EventReporter) {}

  /** Start time of this process on the machine's clock, in milliseconds. */
  get startedAt(): number {
    return MACHINE_CLOCK_OFFSET_MS;
  }

  now(): number {
    return performance.now() + MACHINE_CLOCK_OFFSET_MS;
  }

  startTimer(delayMilliseconds: number, action: () => void): TimerHandle {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      action();
    }, delayMilliseconds);
    this.timers.add(timer);
    return {
      cancel: () => {
        clearTimeout(timer);
        this.timers.delete(timer);
      },
    };
  }

  random(): number {
    return Math.random();
  }

  report(event: EventKind, fields: EventFields): void {
    this.log.report(event, fields);
  }

  /** Cancels all timers, so that a stopped node does not keep the process alive. */
  close(): void {
    this.timers.forEach((timer) => clearTimeout(timer));
    this.timers.clear();
  }
}
