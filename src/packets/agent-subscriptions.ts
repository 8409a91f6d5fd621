/** A balancer's subscriptions to the reports of agents, renewed faster at agents that do not report. */
import type { Endpoint } from '../environment';
import type { AgentDirectory, AgentEntry } from './agent-directory';
import {
  SentStateTracker,
  UNKNOWN_DEPLOYMENT_STATE,
  type DeploymentState,
} from './deployment-state';
import {
  ListingState,
  PacketMessageType,
  DEREGISTRATION_VERSION,
  type ListingStateValue,
  type SubscribeMessage,
} from './packet-messages';
import { computeReportInterval } from './report-interval';
import { isSameDeregistration, type TargetIncarnation } from './target-incarnation';

/** Interval between subscriptions at an agent that reports. */
const SUBSCRIPTION_INTERVAL_MS = 2_000;
/** Time without a report after which an agent gets subscriptions at the slower interval again. */
const FAST_RETRY_PERIOD_MS = 10_000;
/** Tolerance for timers that fire early or late. */
const TIMER_TOLERANCE_MS = 1;

/** Interval between subscriptions at an agent without a recent report; also that of calls to `sendDue`. */
export const FAST_RETRY_INTERVAL_MS = 100;

/** Sends one subscription to several agents. */
export type SubscriptionSender = (agents: readonly Endpoint[], message: SubscribeMessage) => void;

/** The fields of a {@link SubscribeMessage} about the store's eras. */
export type SubscriptionEras = Pick<SubscribeMessage, 'storeEra' | 'asksEra'>;

/** What subscriptions tell agents, beside the listing of each. */
export interface SubscriptionSource {
  getDeploymentState(): DeploymentState;
  getEras(): SubscriptionEras;
  /** Whether an agent must be asked for the destinations of its flows. */
  shouldAskDestinations(agent: Endpoint, now: number): boolean;
}

/** Content of a subscription; agents with the same content get the same datagram. */
interface SubscriptionContent {
  readonly listing: ListingStateValue;
  readonly deregistered: TargetIncarnation | undefined;
  readonly includesState: boolean;
  readonly asksDestinations: boolean;
}

/** Subscriptions of one balancer. */
export class AgentSubscriptions {
  private readonly subscribedAt = new Map<Endpoint, number>();
  private readonly sentStates = new SentStateTracker();

  constructor(
    private readonly zone: string,
    private readonly directory: AgentDirectory,
    private readonly send: SubscriptionSender,
    private readonly source: SubscriptionSource,
  ) {}

  /**
   * Sends all subscriptions that are due.
   * @param isRecent whether the view of the registry is recent
   */
  sendDue(now: number, isRecent: boolean): void {
    const deploymentState = this.source.getDeploymentState();
    const isRegistryKnown = isRecent && this.directory.isComplete;
    const due = new DueSubscriptions();
    for (const entry of this.directory.getAll()) {
      if (this.isDue(entry, now)) {
        this.subscribedAt.set(entry.address, now);
        const listing = determineListing(entry, isRegistryKnown);
        const includesState = this.sentStates.markSentIfDue(
          entry.address,
          entry.report?.run,
          deploymentState,
        );
        const asksDestinations = this.source.shouldAskDestinations(entry.address, now);
        const { deregistered } = entry;
        due.add({ listing, deregistered, includesState, asksDestinations }, entry.address);
      }
    }
    due.forEach((content, agents) =>
      this.send(agents, this.createMessage(content, deploymentState)),
    );
  }

  /** Makes subscriptions at the agents of some zones due at once. */
  makeDueInZones(zones: readonly string[]): void {
    for (const { address, zone } of this.directory.getAll()) {
      if (zones.includes(zone)) {
        this.subscribedAt.delete(address);
      }
    }
  }

  /** Makes subscriptions at all agents due at once. */
  makeAllDue(): void {
    this.subscribedAt.clear();
  }

  /** Removes the records of agents that are no longer known. */
  expire(): void {
    for (const address of this.subscribedAt.keys()) {
      if (!this.directory.find(address)) {
        this.subscribedAt.delete(address);
      }
    }
    this.sentStates.removeUnknownAgents((agent) => this.directory.find(agent) !== undefined);
  }

  private createMessage(
    { listing, deregistered, includesState, asksDestinations }: SubscriptionContent,
    deploymentState: DeploymentState,
  ): SubscribeMessage {
    return {
      type: PacketMessageType.subscribe,
      zone: this.zone,
      interval: computeReportInterval(this.directory.size),
      listing,
      deregistered,
      frameVersion: DEREGISTRATION_VERSION,
      asksDestinations: asksDestinations ? 1 : 0,
      ...this.source.getEras(),
      ...(includesState ? deploymentState : UNKNOWN_DEPLOYMENT_STATE),
    };
  }

  /** Whether a subscription is due; at once for an agent that has restarted, which needs the deployment state. */
  private isDue(entry: AgentEntry, now: number): boolean {
    const last = this.subscribedAt.get(entry.address) ?? -Infinity;
    const isIntervalOver = now - last >= this.getInterval(entry, now) - TIMER_TOLERANCE_MS;
    return isIntervalOver || this.sentStates.hasNewRun(entry.address, entry.report?.run);
  }

  private getInterval(entry: AgentEntry, now: number): number {
    const silence = now - (entry.heardAt ?? entry.knownSince);
    const isFastRetry = !this.directory.isHeard(entry, now) && silence < FAST_RETRY_PERIOD_MS;
    return isFastRetry ? FAST_RETRY_INTERVAL_MS : SUBSCRIPTION_INTERVAL_MS;
  }
}

function determineListing(entry: AgentEntry, isRegistryKnown: boolean): ListingStateValue {
  if (!isRegistryKnown) {
    return ListingState.unknown;
  }
  return entry.registryRevision === undefined ? ListingState.missing : ListingState.listed;
}

function isSameContent(one: SubscriptionContent, other: SubscriptionContent): boolean {
  return (
    one.listing === other.listing &&
    one.includesState === other.includesState &&
    one.asksDestinations === other.asksDestinations &&
    isSameDeregistration(one.deregistered, other.deregistered)
  );
}

/** Agents due for a subscription, grouped by its content. */
class DueSubscriptions {
  private readonly groups: {
    readonly content: SubscriptionContent;
    readonly agents: Endpoint[];
  }[] = [];

  add(content: SubscriptionContent, agent: Endpoint): void {
    const group = this.groups.find((candidate) => isSameContent(candidate.content, content));
    if (group) {
      group.agents.push(agent);
    } else {
      this.groups.push({ content, agents: [agent] });
    }
  }

  forEach(action: (content: SubscriptionContent, agents: readonly Endpoint[]) => void): void {
    this.groups.forEach(({ content, agents }) => action(content, agents));
  }
}
