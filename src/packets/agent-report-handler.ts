/** What a balancer does with an agent's report, besides keeping it in its directory. */
import { formatEndpoint } from '../core/endpoint';
import type { Endpoint, Environment } from '../environment';
import { Events } from '../logging/events';
import type { AgentDirectory, AgentEntry } from './agent-directory';
import type { PacketLink } from './packet-link';
import { TargetState, type ReportMessage } from './packet-messages';

/** What the intake works with. */
export interface AgentReportHandlerDependencies {
  readonly environment: Environment;
  readonly directory: AgentDirectory;
  readonly link: PacketLink;
  /** A report names another balancer. */
  learnPeer(balancer: Endpoint): void;
  /** An agent is heard that was not: what waits for it can go there. */
  onAgentReturned(agent: Endpoint): void;
  /** More agents are heard than before. */
  onHeardAgentsChanged(): void;
}

/** The intake of one balancer. */
export class AgentReportHandler {
  constructor(private readonly dependencies: AgentReportHandlerDependencies) {}

  /** Takes a report; one that a later one has overtaken changes nothing. */
  handleReport(from: Endpoint, report: ReportMessage): void {
    const { directory, environment, link, learnPeer } = this.dependencies;
    const now = environment.now();
    const known = directory.find(from);
    const before = known?.report?.state;
    const wasHeard = known !== undefined && directory.isHeard(known, now);
    const wasZoneSilent = directory.isZoneSilent(report.zone, now);
    const entry = directory.recordReport(from, report, now);
    if (!entry) {
      return;
    }
    link.recordVersion(from, report.frameVersion);
    report.balancers.forEach((peer) => learnPeer(peer));
    // Not the first report of each agent: a balancer that starts hears all of them at once.
    if (before !== undefined && (before !== report.state || !wasHeard)) {
      this.logStateChange(entry, report, wasHeard);
    }
    if (report.state === TargetState.gone && entry.registryRevision === undefined) {
      directory.forget(from);
    }
    if (wasZoneSilent) {
      this.handleZoneReturned(report.zone, now);
    } else if (!wasHeard) {
      this.handleAgentReturned(entry, now);
    }
  }

  /** The way to a zone is open again: all of its agents that were heard lately are. */
  private handleZoneReturned(zone: string, now: number): void {
    for (const entry of this.dependencies.directory.getAll()) {
      if (entry.zone === zone) {
        this.handleAgentReturned(entry, now);
      }
    }
  }

  private handleAgentReturned(entry: AgentEntry, now: number): void {
    const {
      onAgentReturned: agentReturned,
      onHeardAgentsChanged: changed,
      directory,
    } = this.dependencies;
    if (directory.isHeard(entry, now)) {
      agentReturned(entry.address);
    }
    changed();
  }

  private logStateChange(entry: AgentEntry, report: ReportMessage, wasHeard: boolean): void {
    this.dependencies.environment.report(Events.agentStateSeen, {
      agent: formatEndpoint(entry.address),
      service: entry.service,
      state: report.state,
      slots: report.slots,
      wasHeard,
    });
  }
}
