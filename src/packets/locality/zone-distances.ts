/**
 * How far zones are from a balancer's own, by the round trips of probes to their agents.
 *
 * A round trip is the time on the wire plus what queues and slow processors add, and they only
 * add: the shortest of several is the nearest to the wire (the minimum filter of RFC 5905). The
 * same is measured within the balancer's own zone and taken off, so that what a probe costs both
 * ends in any case does not count as distance.
 */

/**
 * Milliseconds for which a sample counts: long enough for some fifteen of them at a probe every
 * two seconds, short enough that another route shows within half a minute.
 */
const SAMPLE_LIFETIME_MS = 30_000;
/**
 * Milliseconds there and back to a zone that has not been measured: between zones of one site
 * (below 1 ms) and zones tens of kilometres apart (up to 10 ms).
 */
export const DEFAULT_DISTANCE_MS = 5;
/** Samples of a zone with which its shortest round trip is worth something. */
const MINIMUM_SAMPLES = 3;

/** One measured round trip. */
interface RoundTripSample {
  readonly at: number;
  readonly roundTrip: number;
}

/** What is known of one zone. */
interface MeasuredZone {
  samples: readonly RoundTripSample[];
  shortestRoundTrip: number;
}

/** Distances of one balancer; lost with its process and measured anew. */
export class ZoneDistances {
  private readonly zones = new Map<string, MeasuredZone>();

  /** @param home the balancer's own zone */
  constructor(private readonly home: string) {}

  /**
   * Adds a round trip of so many milliseconds. Samples age only when another one comes: a zone
   * that falls silent keeps the distance it had.
   */
  addSample(zone: string, roundTrip: number, now: number): void {
    const known = this.zones.get(zone)?.samples ?? [];
    const recent = known.filter(({ at }) => now - at <= SAMPLE_LIFETIME_MS);
    const samples = [...recent, { at: now, roundTrip }];
    this.zones.set(zone, {
      samples,
      shortestRoundTrip: Math.min(...samples.map((sample) => sample.roundTrip)),
    });
  }

  /** Whether a zone has too few samples for its distance to be relied on. */
  lacksSamples(zone: string): boolean {
    return (this.zones.get(zone)?.samples.length ?? 0) < MINIMUM_SAMPLES;
  }

  /**
   * Milliseconds there and back that a zone lies further than the own one; 0 for that one. A
   * default for a zone without samples. While no agent of the own zone has been measured, its
   * round trip counts as 0.
   */
  getDistance(zone: string): number {
    if (zone === this.home) {
      return 0;
    }
    const measured = this.zones.get(zone);
    if (!measured) {
      return DEFAULT_DISTANCE_MS;
    }
    return Math.max(
      0,
      measured.shortestRoundTrip - (this.zones.get(this.home)?.shortestRoundTrip ?? 0),
    );
  }

  /** Number of zones with a sample, the own one included. */
  get zonesMeasured(): number {
    return this.zones.size;
  }

  /** Milliseconds there and back to the farthest zone measured; 0 for none. */
  get largestDistance(): number {
    return Math.max(0, ...[...this.zones.keys()].map((zone) => this.getDistance(zone)));
  }
}
