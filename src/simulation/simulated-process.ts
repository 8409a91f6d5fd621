/** A simulated process: the environment of a node, which can be frozen or killed. */
import type { Endpoint, Environment, TimerHandle } from '../environment';
import type { EventFields, EventKind } from '../logging/events';
import type { SeededRandom } from './seeded-random';
import type { VirtualClock } from './virtual-clock';

/** A frozen process with this many postponed actions drops datagrams, as a full socket does. */
const MAXIMUM_POSTPONED_ACTIONS = 512;

/** Receives the log events of all processes. */
export type EventSink = (process: string, event: EventKind, fields: EventFields) => void;

/** A process that can be killed permanently or frozen temporarily. */
export class SimulatedProcess implements Environment {
  private state: 'running' | 'frozen' | 'dead' = 'running';
  /** Actions that came due while frozen, in order. */
  private postponed: (() => void)[] = [];

  constructor(
    readonly name: string,
    readonly zone: string,
    readonly machine: string,
    private readonly clock: VirtualClock,
    private readonly randomSource: SeededRandom,
    private readonly eventSink: EventSink,
  ) {}

  get isRunning(): boolean {
    return this.state === 'running';
  }

  get isDead(): boolean {
    return this.state === 'dead';
  }

  now(): number {
    return this.clock.now;
  }

  startTimer(delayMilliseconds: number, action: () => void): TimerHandle {
    let cancelled = false;
    this.clock.schedule(delayMilliseconds, () => {
      this.run(() => {
        if (!cancelled) {
          action();
        }
      });
    });
    return { cancel: () => (cancelled = true) };
  }

  random(): number {
    return this.randomSource.next();
  }

  report(event: EventKind, fields: EventFields): void {
    this.eventSink(this.name, event, fields);
  }

  /** Runs an action now, or on resume if frozen; drops it if dead. */
  run(action: () => void): void {
    if (this.state === 'running') {
      action();
    } else if (this.state === 'frozen') {
      this.postponed.push(action);
    }
  }

  /** Delivers a datagram; a frozen process postpones it unless its queue is full. */
  deliver(
    handler: (payload: Buffer, from: Endpoint) => void,
    payload: Buffer,
    from: Endpoint,
  ): void {
    if (this.state === 'frozen' && this.postponed.length >= MAXIMUM_POSTPONED_ACTIONS) {
      return;
    }
    this.run(() => handler(payload, from));
  }

  freeze(): void {
    if (this.state === 'running') {
      this.state = 'frozen';
    }
  }

  /** Resumes and runs all postponed actions. */
  resume(): void {
    if (this.state !== 'frozen') {
      return;
    }
    this.state = 'running';
    const due = this.postponed;
    this.postponed = [];
    due.forEach((action) => this.run(action));
  }

  /** Resumes after a delay in milliseconds and runs `first` before all postponed actions. */
  resumeAfter(delay: number, first: () => void): void {
    this.postponed.unshift(first);
    this.clock.schedule(delay, () => this.resume());
  }

  kill(): void {
    this.state = 'dead';
    this.postponed = [];
  }
}
