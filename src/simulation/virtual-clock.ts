/** Virtual time: events run in order of due time, then of scheduling. */
import { Heap } from 'heap-js';
import type { TimerHandle } from '../environment';

interface ScheduledEvent {
  readonly at: number;
  readonly order: number;
  action: (() => void) | undefined;
}

function compareEvents(a: ScheduledEvent, b: ScheduledEvent): number {
  return a.at - b.at || a.order - b.order;
}

/** Clock and event queue of one simulation; times in milliseconds. */
export class VirtualClock {
  private readonly queue = new Heap<ScheduledEvent>(compareEvents);
  private currentTime = 0;
  private nextOrder = 0;

  get now(): number {
    return this.currentTime;
  }

  /** Runs `action` after a delay of 0 or more milliseconds. */
  schedule(delay: number, action: () => void): TimerHandle {
    const event: ScheduledEvent = {
      at: this.currentTime + Math.max(0, delay),
      order: this.nextOrder++,
      action,
    };
    this.queue.push(event);
    return { cancel: () => (event.action = undefined) };
  }

  /** Runs all events due up to `time` and advances the clock to it. */
  runUntil(time: number): void {
    for (let next = this.queue.peek(); next && next.at <= time; next = this.queue.peek()) {
      this.queue.pop();
      this.currentTime = next.at;
      next.action?.();
    }
    this.currentTime = time;
  }
}
