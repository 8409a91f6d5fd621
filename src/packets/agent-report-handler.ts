/** Handles agents' reports at a balancer, beyond storing them in its directory. */
import { formatEndpoint } from '../core/endpoint';
import type { Endpoint, Environment } from '../environment';
import { Events } from '../logging/events';
import { hasTargetEnded, type AgentDirectory, type AgentEntry } from './agent-directory';
import type { PacketLink } from './packet-link';
import type { ReportMessage } from './packet-messages';

/** Dependencies of the handler. */
export interface AgentReportHandlerDependencies {
  readonly environment: Environment;
  readonly directory: AgentDirectory;
  readonly link: PacketLink;
  /** Called for each balancer that a report names. */
  learnPeer(balancer: Endpoint): void;
  /** Called when an agent reports again, so that packets queued for it can be sent. */
  onAgentReturned(agent: Endpoint): void;
  /** Called when more agents have reported recently than before. */
  onHeardAgentsChanged(): void;
}

/** Report handler of one balancer. */
export class AgentReportHandler {
  constructor(private readonly dependencies: AgentReportHandlerDependencies) {}

  /** Handles a report; one older than the latest changes nothing. */
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
    // First reports are not logged: a starting balancer gets those of all agents at once.
    if (before !== undefined && (before !== report.state || !wasHeard)) {
      this.logStateChange(entry, report, wasHeard);
    }
    if (hasTargetEnded(report) && entry.registryRevision === undefined) {
      directory.remove(from, 'target-ended');
    }
    if (wasZoneSilent) {
      this.handleZoneReturned(report.zone, now);
    } else if (!wasHeard) {
      this.handleAgentReturned(entry, now);
    }
  }

  /** The path to a zone is restored, and with it all agents there that have reported recently. */
  private handleZoneReturned(zone: string, now: number): void {
    for (const entry of this.dependencies.directory.getAll()) {
      if (entry.zone === zone) {
        this.handleAgentReturned(entry, now);
      }
    }
  }

  private handleAgentReturned(entry: AgentEntry, now: number): void {
    const { directory, onAgentReturned, onHeardAgentsChanged } = this.dependencies;
    if (directory.isHeard(entry, now)) {
      onAgentReturned(entry.address);
    }
    onHeardAgentsChanged();
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
