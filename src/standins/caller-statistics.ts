/** Counters and latency histograms of callers. */
import { build, type Histogram } from 'hdr-histogram-js';

/** Kinds of traffic with separate latency histograms. */
export type TrafficKind = 'feed' | 'report' | 'transfer' | 'datagram';

/** Latency percentiles in milliseconds. */
export interface LatencySummary {
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
}

const MICROSECONDS_PER_MS = 1_000;

/** Notified of every failure of a caller; used by the simulation's checkers. */
export interface CallerObserver {
  /** A flow broke that began at `target`; `target` is empty if unknown. */
  recordBrokenFlow(reason: string, service: string, target: string): void;
  /** A request ended without a definite answer. */
  recordFailedRequest(outcome: 'unknown' | 'unanswered'): void;
  /** An answer was incomplete or belonged to another request. */
  recordWrongAnswer(description: string): void;
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
  /** Number of broken flows by reason. */
  readonly breakReasons = new Map<string, number>();
  private readonly histograms = new Map<TrafficKind, Histogram>();

  constructor(private readonly observer?: CallerObserver) {}

  /** Records the time from request to answer, in milliseconds. */
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

  /** @param description what was expected and what was received */
  recordWrongAnswer(description: string): void {
    this.wrongAnswers++;
    this.observer?.recordWrongAnswer(description);
  }

  recordUnknownOutcome(): void {
    this.outcomeUnknown++;
    this.observer?.recordFailedRequest('unknown');
  }

  recordUnanswered(): void {
    this.unanswered++;
    this.observer?.recordFailedRequest('unanswered');
  }

  /** Latency of one kind; undefined if it had no answers. */
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
