/** What callers saw, counted by themselves. */
import { build, type Histogram } from 'hdr-histogram-js';

/** Kinds of traffic whose latency is kept apart. */
export type TrafficKind = 'feed' | 'report' | 'transfer' | 'datagram';

/** Latency in milliseconds. */
export interface LatencySummary {
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
}

const MICROSECONDS_PER_MS = 1_000;

/** Told of what callers suffer, as it happens; used by the simulation's checkers. */
export interface CallerObserver {
  /** A flow that began at a target of this service broke; no target when none is known. */
  recordBrokenFlow(reason: string, service: string, target: string): void;
  /** A request ended without a definite answer. */
  recordFailedRequest(outcome: 'unknown' | 'unanswered'): void;
  /** An answer was not whole or not the caller's own. */
  recordWrongAnswer(what: string): void;
}

/** Counters of a fleet of callers. */
export class CallerStatistics {
  flowsOpened = 0;
  flowsBroken = 0;
  requestsSent = 0;
  answersWhole = 0;
  refusedNotRun = 0;
  outcomeUnknown = 0;
  unanswered = 0;
  misdelivered = 0;
  wrongAnswers = 0;
  notifications = 0;
  /** Why flows counted as broken. */
  readonly breakReasons = new Map<string, number>();
  private readonly histograms = new Map<TrafficKind, Histogram>();

  constructor(private readonly observer?: CallerObserver) {}

  /** Notes how long an answer took, in milliseconds. */
  recordLatency(kind: TrafficKind, milliseconds: number): void {
    const histogram = this.histograms.get(kind) ?? build({ numberOfSignificantValueDigits: 3 });
    histogram.recordValue(Math.max(0, Math.round(milliseconds * MICROSECONDS_PER_MS)));
    this.histograms.set(kind, histogram);
  }

  recordBrokenFlow(reason: string, service: string, target: string): void {
    this.flowsBroken++;
    this.breakReasons.set(reason, (this.breakReasons.get(reason) ?? 0) + 1);
    this.observer?.recordBrokenFlow(reason, service, target);
  }

  /** @param what what was expected and what came, in words */
  recordWrongAnswer(what: string): void {
    this.wrongAnswers++;
    this.observer?.recordWrongAnswer(what);
  }

  recordUnknownOutcome(): void {
    this.outcomeUnknown++;
    this.observer?.recordFailedRequest('unknown');
  }

  recordUnanswered(): void {
    this.unanswered++;
    this.observer?.recordFailedRequest('unanswered');
  }

  /** Latency of one kind; undefined when it had no answer. */
  getLatency(kind: TrafficKind): LatencySummary | undefined {
    const histogram = this.histograms.get(kind);
    if (!histogram) {
      return undefined;
    }
    const getPercentile = (percentile: number): number =>
      histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
    return { p50: getPercentile(50), p99: getPercentile(99), p999: getPercentile(99.9) };
  }

  /** Latency of every kind that had answers. */
  getLatencies(): Partial<Record<TrafficKind, LatencySummary>> {
    const kinds = [...this.histograms.keys()];
    return Object.fromEntries(kinds.map((kind) => [kind, this.getLatency(kind)]));
  }
}
