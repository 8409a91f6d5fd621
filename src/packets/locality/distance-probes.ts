/** A balancer's probes of the distances between zones: one agent of each zone in turn. */
import type { Endpoint } from '../../environment';
import type { AgentDirectory, AgentEntry } from '../agent-directory';
import {
  PacketMessageType,
  REPAIR_VERSION,
  type DistanceProbeMessage,
  type DistanceReplyMessage,
} from '../packet-messages';
import type { ZoneDistances } from './zone-distances';

/** Milliseconds between two probes of a zone: distances change with routes, not with load. */
const PROBE_INTERVAL = 2_000;
/**
 * Milliseconds between two probes of a zone with few samples, and how often to call `run`: three
 * of them take less than a second of a balancer's start.
 */
export const FIRST_PROBES_INTERVAL = 250;
/** Timers fire a little early or late. */
const TOLERANCE = 1;

/** Sends a probe to an agent. */
export type ProbeSender = (agent: Endpoint, probe: DistanceProbeMessage) => void;

/** The probing of one zone. */
interface ZoneProbe {
  /** Probes sent; by it agents take turns. */
  sent: number;
  agent: Endpoint;
  sentAt: number;
  isAnswered: boolean;
  /** Probes in a row before this one that had no reply before the next went out. */
  readonly unanswered: number;
}

/** Probes of one balancer. */
export class DistanceProbes {
  private readonly probes = new Map<string, ZoneProbe>();

  constructor(
    private readonly directory: AgentDirectory,
    private readonly distances: ZoneDistances,
    private readonly send: ProbeSender,
  ) {}

  /** Probes each zone where it is due; agents of an earlier version are left out. */
  run(now: number): void {
    for (const [zone, agents] of this.groupAgents(now)) {
      const last = this.probes.get(zone);
      if (!last || now - last.sentAt >= this.intervalAfter(last, zone) - TOLERANCE) {
        this.probe(zone, agents, last, now);
      }
    }
  }

  /** Takes a reply. Only that to the latest probe of a zone counts: others may be of an earlier run. */
  take(from: Endpoint, { sentAt }: DistanceReplyMessage, now: number): void {
    for (const [zone, probe] of this.probes) {
      if (!probe.isAnswered && probe.agent === from && probe.sentAt === sentAt) {
        probe.isAnswered = true;
        this.distances.add(zone, now - sentAt, now);
        return;
      }
    }
  }

  private probe(
    zone: string,
    agents: readonly AgentEntry[],
    last: ZoneProbe | undefined,
    now: number,
  ): void {
    const sent = last?.sent ?? 0;
    const { address } = agents[sent % agents.length]!;
    this.probes.set(zone, {
      sent: sent + 1,
      agent: address,
      sentAt: now,
      isAnswered: false,
      unanswered: last && !last.isAnswered ? last.unanswered + 1 : 0,
    });
    this.send(address, { type: PacketMessageType.distanceProbe, sentAt: now });
  }

  /** Doubled for each probe without a reply: a round trip may take longer than the first interval. */
  private intervalAfter({ unanswered }: ZoneProbe, zone: string): number {
    return this.distances.lacksSamples(zone)
      ? Math.min(PROBE_INTERVAL, FIRST_PROBES_INTERVAL * 2 ** unanswered)
      : PROBE_INTERVAL;
  }

  /** The agents by zone that are heard and understand probes. */
  private groupAgents(now: number): Map<string, AgentEntry[]> {
    const groups = new Map<string, AgentEntry[]>();
    for (const entry of this.directory.all()) {
      const understands = (entry.report?.frameVersion ?? 0) >= REPAIR_VERSION;
      if (!understands || !this.directory.isHeard(entry, now)) {
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
