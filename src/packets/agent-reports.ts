/** What a balancer does with an agent's report, besides keeping it in its directory. */
import { formatEndpoint } from '../core/endpoint';
import type { Endpoint, Environment } from '../environment';
import { Events } from '../logging/events';
import type { AgentDirectory, AgentEntry } from './agent-directory';
import type { PacketLink } from './packet-link';
import { TargetState, type ReportMessage } from './packet-messages';

/** What the intake works with. */
export interface AgentReportsDependencies {
  readonly environment: Environment;
  readonly directory: AgentDirectory;
  readonly link: PacketLink;
  /** A report names another balancer. */
  learnPeer(balancer: Endpoint): void;
  /** An agent is heard that was not: what waits for it can go there. */
  agentReturned(agent: Endpoint): void;
  /** More agents are heard than before. */
  changed(): void;
}

/** The intake of one balancer. */
export class AgentReports {
  constructor(private readonly dependencies: AgentReportsDependencies) {}

  /** Takes a report; one that a later one has overtaken changes nothing. */
  take(from: Endpoint, report: ReportMessage): void {
    const { directory, environment, link, learnPeer } = this.dependencies;
    const now = environment.now();
    const known = directory.find(from);
    const before = known?.report?.state;
    const wasHeard = known !== undefined && directory.isHeard(known, now);
    const wasZoneSilent = directory.isZoneSilent(report.zone, now);
    const entry = directory.hear(from, report, now);
    if (!entry) {
      return;
    }
    link.noteVersion(from, report.frameVersion);
    report.balancers.forEach((peer) => learnPeer(peer));
    // Not the first report of each agent: a balancer that starts hears all of them at once.
    if (before !== undefined && (before !== report.state || !wasHeard)) {
      this.report(entry, report, wasHeard);
    }
    if (report.state === TargetState.gone && entry.registryRevision === undefined) {
      directory.forget(from);
    }
    if (wasZoneSilent) {
      this.zoneReturned(report.zone, now);
    } else if (!wasHeard) {
      this.agentReturned(entry, now);
    }
  }

  /** The way to a zone is open again: all of its agents that were heard lately are. */
  private zoneReturned(zone: string, now: number): void {
    for (const entry of this.dependencies.directory.all()) {
      if (entry.zone === zone) {
        this.agentReturned(entry, now);
      }
    }
  }

  private agentReturned(entry: AgentEntry, now: number): void {
    const { agentReturned, changed, directory } = this.dependencies;
    if (directory.isHeard(entry, now)) {
      agentReturned(entry.address);
    }
    changed();
  }

  private report(entry: AgentEntry, report: ReportMessage, wasHeard: boolean): void {
    this.dependencies.environment.report(Events.agentStateSeen, {
      agent: formatEndpoint(entry.address),
      service: entry.service,
      state: report.state,
      slots: report.slots,
      wasHeard,
    });
  }
}
