/** A process of the simulation: its environment, and what can befall it. */
import type { Endpoint, Environment, TimerHandle } from '../environment';
import type { EventFields, EventKind } from '../logging/events';
import type { SeededRandom } from './seeded-random';
import type { VirtualClock } from './virtual-clock';

/** Datagrams that the socket of a frozen process holds. */
const MAXIMUM_POSTPONED_ACTIONS = 512;

/** Receives events of all processes. */
export type EventSink = (process: string, event: EventKind, fields: EventFields) => void;

/** One process; killed for good, or frozen for a while. */
export class SimulatedProcess implements Environment {
  private state: 'running' | 'frozen' | 'dead' = 'running';
  /** What came due while frozen, in order. */
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

  /** Runs something now, or when the process wakes; never when it is dead. */
  run(action: () => void): void {
    if (this.state === 'running') {
      action();
    } else if (this.state === 'frozen') {
      this.postponed.push(action);
    }
  }

  /** Hands a datagram over; a frozen process keeps a bounded number for later. */
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

  /** Wakes and does everything that came due meanwhile. */
  resume(): void {
    if (this.state !== 'frozen') {
      return;
    }
    this.state = 'running';
    const due = this.postponed;
    this.postponed = [];
    due.forEach((action) => this.run(action));
  }

  /** Wakes after a delay and does `first` before anything that came due meanwhile. */
  resumeAfter(delay: number, first: () => void): void {
    this.postponed.unshift(first);
    this.clock.schedule(delay, () => this.resume());
  }

  kill(): void {
    this.state = 'dead';
    this.postponed = [];
  }
}
