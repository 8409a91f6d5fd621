/**
 * Which zones a balancer has lost its way to.
 *
 * One agent may be silent for three of its reports before it counts as away. Agents of a zone
 * report independently of each other, so silence of all of them shows much sooner that the way to
 * the zone is cut, or that it has lost power.
 */
import { computeReportInterval } from './report-interval';

/** Agents of a zone from which on their common silence says something. */
const MINIMUM_ZONE_AGENTS = 6;
/**
 * Part of the time between two reports of one agent for which all of a zone must be silent: agents
 * that started together, within a fifth of that time, leave a gap of four fifths.
 */
const SILENCE_SHARE = 0.8;
/** Milliseconds of silence at least, however often agents report. */
const MINIMUM_SILENCE_MS = 250;
/**
 * Part of that silence after whose begin another zone must have been heard: a balancer that hears
 * nobody has been held up itself.
 */
const OTHER_ZONE_SHARE = 0.5;

/** What is known of one zone. */
interface ZoneContact {
  agents: number;
  heardAt: number;
}

/** The zones as one balancer hears them. */
export class ZoneReachability {
  private readonly zones = new Map<string, ZoneContact>();

  /** An agent of a zone is heard. */
  recordReport(zone: string, now: number): void {
    const contact = this.zones.get(zone);
    if (contact) {
      contact.heardAt = now;
    } else {
      this.zones.set(zone, { agents: 0, heardAt: now });
    }
  }

  /** An agent of a zone was added to the directory, or taken out. */
  adjustAgentCount(zone: string, change: 1 | -1): void {
    const contact = this.zones.get(zone);
    if (contact) {
      contact.agents += change;
    } else {
      this.zones.set(zone, { agents: Math.max(0, change), heardAt: -Infinity });
    }
  }

  /**
   * Whether all agents of a zone have fallen silent while others are heard.
   * @param agents number of all agents, on which the time between their reports depends
   * @param listeningSince time since which agents are asked for reports; `Infinity` while they are not
   */
  isSilent(zone: string, agents: number, now: number, listeningSince = -Infinity): boolean {
    const contact = this.zones.get(zone);
    if (!contact || contact.agents < MINIMUM_ZONE_AGENTS || contact.heardAt === -Infinity) {
      return false;
    }
    const silentSince = Math.max(contact.heardAt, listeningSince);
    const limit = Math.max(MINIMUM_SILENCE_MS, computeReportInterval(agents) * SILENCE_SHARE);
    return (
      now - silentSince > limit && this.hasHeardOther(zone, silentSince + limit * OTHER_ZONE_SHARE)
    );
  }

  private hasHeardOther(zone: string, since: number): boolean {
    for (const [other, { heardAt }] of this.zones) {
      if (other !== zone && heardAt > since) {
        return true;
      }
    }
    return false;
  }
}
