/** The one-shot and repeating timers of a node, which are cancelled together. */
import type { Environment, TimerHandle } from '../environment';

/** Timers of one node. */
export class NodeTimers {
  private readonly timers = new Set<TimerHandle>();

  constructor(private readonly environment: Environment) {}

  /** Runs an action once after a delay in milliseconds. */
  scheduleOnce(delay: number, action: () => void): void {
    const handle = this.environment.startTimer(delay, () => {
      this.timers.delete(handle);
      action();
    });
    this.timers.add(handle);
  }

  /** Runs an action at regular intervals in milliseconds. */
  scheduleRepeating(interval: number, action: () => void): void {
    this.scheduleOnce(interval, () => {
      this.scheduleRepeating(interval, action);
      action();
    });
  }

  /** Cancels all timers. */
  cancelAll(): void {
    this.timers.forEach((timer) => timer.cancel());
    this.timers.clear();
  }
}
