/**
 * Runtime services that are injected into nodes.
 *
 * Node classes own no clock, timer, random source or socket: the real process and the simulator
 * each inject an implementation of these interfaces and run the same node classes.
 */
import type { EventFields, EventKind } from './logging/events';

/** A running timer. */
export interface TimerHandle {
  cancel(): void;
}

/** Monotonic time, timers and randomness. */
export interface Environment {
  /** Monotonic time in milliseconds since an arbitrary start. */
  now(): number;
  /** Runs `action` once after `delayMilliseconds`. */
  startTimer(delayMilliseconds: number, action: () => void): TimerHandle;
  /** Uniform random number in [0, 1). */
  random(): number;
  /** Logs an event. */
  report(event: EventKind, fields: EventFields): void;
}

/**
 * An IPv4 address and UDP port packed into one integer (address x 65,536 + port).
 * A double represents it exactly, and it keeps per-flow state small.
 */
export type Endpoint = number;

/** Sends internal frames that are already encoded and authenticated. */
export interface FrameTransport {
  send(to: Endpoint, frame: Buffer): void;
}
