/** A balancer's probes of the distances between zones: one agent of each zone in turn. */
import type { Endpoint } from '../../environment';
import type { AgentDirectory, AgentEntry } from '../agent-directory';
import {
  PacketMessageType,
  HOP_REPAIR_VERSION,
  type DistanceProbeMessage,
  type DistanceReplyMessage,
} from '../packet-messages';
import type { ZoneDistances } from './zone-distances';

/** Milliseconds between two probes of a zone: distances change with routes, not with load. */
const PROBE_INTERVAL_MS = 2_000;
/**
 * Milliseconds between two probes of a zone with few samples, and how often to call `run`: three
 * of them take less than a second of a balancer's start.
 */
export const INITIAL_PROBE_INTERVAL_MS = 250;
/** Timers fire a little early or late. */
const TIMER_TOLERANCE_MS = 1;

/** Sends a probe to an agent. */
export type SendProbe = (agent: Endpoint, probe: DistanceProbeMessage) => void;

/** The probing of one zone. */
interface ZoneProbe {
  /** Probes sent; by it agents take turns. */
  sentCount: number;
  agent: Endpoint;
  sentAt: number;
  isAnswered: boolean;
  /** Probes in a row before this one that had no reply before the next went out. */
  readonly unansweredInRow: number;
}

/** Probes of one balancer. */
export class DistanceProbes {
  private readonly probes = new Map<string, ZoneProbe>();

  constructor(
    private readonly directory: AgentDirectory,
    private readonly distances: ZoneDistances,
    private readonly send: SendProbe,
  ) {}

  /** Probes each zone where it is due; agents of an earlier version are left out. */
  sendDueProbes(now: number): void {
    for (const [zone, agents] of this.groupProbeableAgents(now)) {
      const last = this.probes.get(zone);
      if (!last || now - last.sentAt >= this.computeInterval(last, zone) - TIMER_TOLERANCE_MS) {
        this.sendProbe(zone, agents, last, now);
      }
    }
  }

  /** Takes a reply. Only that to the latest probe of a zone counts: others may be of an earlier run. */
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

  /** Doubled for each probe without a reply: a round trip may take longer than the first interval. */
  private computeInterval({ unansweredInRow: unanswered }: ZoneProbe, zone: string): number {
    return this.distances.lacksSamples(zone)
      ? Math.min(PROBE_INTERVAL_MS, INITIAL_PROBE_INTERVAL_MS * 2 ** unanswered)
      : PROBE_INTERVAL_MS;
  }

  /** The agents by zone that are heard and understand probes. */
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
