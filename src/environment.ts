/**
 * What a node needs from the world around it.
 *
 * Node classes hold no clock, timer, random source or socket of their own:
 * the real process and the simulator each inject an implementation of these
 * interfaces, and run the same node classes.
 */
import type { EventFields, EventKind } from './logging/events';

/** Handle of a running timer. */
export interface TimerHandle {
  cancel(): void;
}

/** Monotonic time, timers and randomness. */
export interface Environment {
  /** Monotonic milliseconds since an arbitrary start; never goes back. */
  now(): number;
  /** Runs `action` once after `delayMilliseconds`. */
  startTimer(delayMilliseconds: number, action: () => void): TimerHandle;
  /** Uniform random number in [0, 1). */
  random(): number;
  /** Writes a numbered event to the log. */
  report(event: EventKind, fields: EventFields): void;
}

/**
 * An IPv4 address and UDP port packed into one integer (address x 65,536 + port).
 * It fits a double exactly and keeps per-flow state small.
 */
export type Endpoint = number;

/** Sends one internal frame, already encoded and authenticated. */
export interface FrameTransport {
  send(to: Endpoint, frame: Buffer): void;
}
