/** The environment of a real process: its monotonic clock, timers, random source and log. */
import type { Environment, TimerHandle } from '../environment';
import type { EventFields, EventKind } from '../logging/events';

/**
 * Offset from this process's clock to the machine's monotonic clock, which all
 * processes of the machine share: times survive a hand-over to a successor.
 */
const MACHINE_CLOCK_OFFSET_MS = Number(process.hrtime.bigint()) / 1e6 - performance.now();

/** Takes numbered events; the log of a process. */
export interface EventReporter {
  report(event: EventKind, fields: EventFields): void;
}

/** Environment over Node's own clock and timers. */
export class RealEnvironment implements Environment {
  private readonly timers = new Set<NodeJS.Timeout>();

  constructor(private readonly log: EventReporter) {}

  /** Time at which this process began. */
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

  /** Cancels every timer, so that a stopped node keeps no process alive. */
  close(): void {
    this.timers.forEach((timer) => clearTimeout(timer));
    this.timers.clear();
  }
}
