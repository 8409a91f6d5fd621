/** Measures the round trip to each zone by probes, sent to the agents of the zone in turn. */
import type { Endpoint } from '../../environment';
import type { AgentDirectory, AgentEntry } from '../agent-directory';
import {
  PacketMessageType,
  HOP_REPAIR_VERSION,
  type DistanceProbeMessage,
  type DistanceReplyMessage,
} from '../packet-messages';
import type { ZoneDistances } from './zone-distances';

/** Interval of probes of a zone; distances change with routes, not with load. */
const PROBE_INTERVAL_MS = 2_000;
/**
 * Interval of probes of a zone with few samples, and of calls of `sendDueProbes`: three probes take
 * less than a second after a balancer's start.
 */
export const INITIAL_PROBE_INTERVAL_MS = 250;
/** Allowance for timers that fire slightly early. */
const TIMER_TOLERANCE_MS = 1;

/** Sends a probe to an agent. */
export type SendProbe = (agent: Endpoint, probe: DistanceProbeMessage) => void;

/** The latest probe of a zone. */
interface ZoneProbe {
  /** Probes sent to the zone so far; selects the next agent. */
  sentCount: number;
  agent: Endpoint;
  sentAt: number;
  isAnswered: boolean;
  /** Consecutive earlier probes that were not answered before the next one was sent. */
  readonly unansweredInRow: number;
}

/** Distance probes of one balancer. */
export class DistanceProbes {
  private readonly probes = new Map<string, ZoneProbe>();

  constructor(
    private readonly directory: AgentDirectory,
    private readonly distances: ZoneDistances,
    private readonly send: SendProbe,
  ) {}

  /** Probes each zone that is due; agents of earlier versions are skipped. */
  sendDueProbes(now: number): void {
    for (const [zone, agents] of this.groupProbeableAgents(now)) {
      const last = this.probes.get(zone);
      if (!last || now - last.sentAt >= this.computeInterval(last, zone) - TIMER_TOLERANCE_MS) {
        this.sendProbe(zone, agents, last, now);
      }
    }
  }

  /** Handles a reply. Only one to a zone's latest probe counts; others may predate a restart. */
  handleReply(from: Endpoint, { sentAt }: DistanceReplyMessage, now: number): void {
    for (const [zone, last] of this.probes) {
      if (!last.isAnswered && last.agent === from && last.sentAt === sentAt) {
        last.isAnswered = true;
        this.distances.addSample(zone, now - sentAt, now);
        return;
      }
    }
  }

  private sendProbe(
    zone: string,
    agents: readonly AgentEntry[],
    last: ZoneProbe | undefined,
    now: number,
  ): void {
    const sentCount = last?.sentCount ?? 0;
    const { address } = agents[sentCount % agents.length]!;
    this.probes.set(zone, {
      sentCount: sentCount + 1,
      agent: address,
      sentAt: now,
      isAnswered: false,
      unansweredInRow: last && !last.isAnswered ? last.unansweredInRow + 1 : 0,
    });
    this.send(address, { type: PacketMessageType.distanceProbe, sentAt: now });
  }

  /** Doubles per unanswered probe, since a round trip may exceed the initial interval. */
  private computeInterval({ unansweredInRow }: ZoneProbe, zone: string): number {
    return this.distances.lacksSamples(zone)
      ? Math.min(PROBE_INTERVAL_MS, INITIAL_PROBE_INTERVAL_MS * 2 ** unansweredInRow)
      : PROBE_INTERVAL_MS;
  }

  /** The agents, by zone, that have reported recently and support probes. */
  private groupProbeableAgents(now: number): Map<string, AgentEntry[]> {
    const groups = new Map<string, AgentEntry[]>();
    for (const entry of this.directory.getAll()) {
      const supportsProbes = (entry.report?.frameVersion ?? 0) >= HOP_REPAIR_VERSION;
      if (!supportsProbes || !this.directory.isHeard(entry, now)) {
        continue;
      }
      const group = groups.get(entry.zone);
      if (group) {
        group.push(entry);
      } else {
        groups.set(entry.zone, [entry]);
      }
    }
    return groups;
  }
}
