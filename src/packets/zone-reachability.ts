/**
 * Detects zones that a balancer cannot reach.
 *
 * A single agent counts as unresponsive only after it has missed about three reports. Agents of a
 * zone report independently, so when all of them stop, a network partition or power loss of the
 * zone is detected much earlier.
 */
import { computeReportInterval } from './report-interval';

/** Zones with fewer agents are never considered unreachable. */
const MINIMUM_ZONE_AGENTS = 6;
/**
 * Share of the report interval without any report after which a zone is unreachable: agents
 * that started together, within a fifth of the interval, leave a gap of four fifths.
 */
const SILENCE_SHARE = 0.8;
/** Lower limit of that time, however often agents report. */
const MINIMUM_SILENCE_MS = 250;
/**
 * Another zone must have reported after this share of that time: a balancer that receives nothing
 * at all has been stalled itself.
 */
const OTHER_ZONE_SHARE = 0.5;

/** Contact with one zone. */
interface ZoneContact {
  agents: number;
  heardAt: number;
}

/** Contact of one balancer with each zone. */
export class ZoneReachability {
  private readonly zones = new Map<string, ZoneContact>();

  /** Records a report from an agent of a zone. */
  recordReport(zone: string, now: number): void {
    const contact = this.zones.get(zone);
    if (contact) {
      contact.heardAt = now;
    } else {
      this.zones.set(zone, { agents: 0, heardAt: now });
    }
  }

  /** Records that an agent of a zone was added to the directory, or removed. */
  adjustAgentCount(zone: string, change: 1 | -1): void {
    const contact = this.zones.get(zone);
    if (contact) {
      contact.agents += change;
    } else {
      this.zones.set(zone, { agents: Math.max(0, change), heardAt: -Infinity });
    }
  }

  /**
   * Whether all agents of a zone have stopped reporting while other zones still report.
   * @param agents number of all agents, which determines the report interval
   * @param listeningSince time since which agents are asked for reports; `Infinity` if they are not
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
