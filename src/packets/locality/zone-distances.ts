/**
 * Distances of zones from a balancer's home zone, from the round trips of probes to their agents.
 *
 * A round trip is the network delay plus queueing and processing time, which only add to it, so the
 * shortest of several is the closest to the network delay (the minimum filter of RFC 5905). The
 * round trip within the home zone is subtracted, so that the processing of a probe at both ends
 * does not count as distance.
 */

/**
 * Age at which a sample expires: long enough for about fifteen samples at one probe every two
 * seconds, short enough to detect a longer route within half a minute.
 */
const SAMPLE_LIFETIME_MS = 30_000;
/**
 * Round trip assumed for a zone that has not been measured: between that of zones of one site
 * (below 1 ms) and of zones tens of kilometres apart (up to 10 ms).
 */
export const DEFAULT_DISTANCE_MS = 5;
/** Number of samples from which a zone's shortest round trip is reliable. */
const MINIMUM_SAMPLES = 3;

/** One measured round trip. */
interface RoundTripSample {
  readonly measuredAt: number;
  readonly roundTrip: number;
}

/** Recent samples of one zone. */
interface MeasuredZone {
  samples: readonly RoundTripSample[];
  shortestRoundTrip: number;
}

/** Distances measured by one balancer; not persisted, measured again after a restart. */
export class ZoneDistances {
  private readonly zones = new Map<string, MeasuredZone>();

  /** @param home the balancer's zone */
  constructor(private readonly home: string) {}

  /**
   * Adds a round trip in milliseconds. Samples expire only when another one is added, so an
   * unresponsive zone retains its last distance.
   */
  addSample(zone: string, roundTrip: number, now: number): void {
    const known = this.zones.get(zone)?.samples ?? [];
    const recent = known.filter(({ measuredAt }) => now - measuredAt <= SAMPLE_LIFETIME_MS);
    const samples = [...recent, { measuredAt: now, roundTrip }];
    this.zones.set(zone, {
      samples,
      shortestRoundTrip: Math.min(...samples.map((sample) => sample.roundTrip)),
    });
  }

  /** Whether a zone has too few samples for a reliable distance. */
  lacksSamples(zone: string): boolean {
    return (this.zones.get(zone)?.samples.length ?? 0) < MINIMUM_SAMPLES;
  }

  /**
   * Round trip to a zone in milliseconds, less that within the home zone; 0 for the home zone, and
   * a default for a zone without samples. While the home zone has not been measured, its round
   * trip counts as 0.
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

  /** Number of zones with a sample, including the home zone. */
  get zonesMeasured(): number {
    return this.zones.size;
  }

  /** Distance of the farthest zone measured, in milliseconds; 0 for none. */
  get largestDistance(): number {
    return Math.max(0, ...[...this.zones.keys()].map((zone) => this.getDistance(zone)));
  }
}
