/** A balancer's requests for reports: often at agents that are silent, else now and then. */
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
  HOP_REPAIR_VERSION,
  type ListingStateValue,
  type SubscribeMessage,
} from './packet-messages';
import { computeReportInterval } from './report-interval';

/** Milliseconds between subscriptions at an agent that is heard. */
const SUBSCRIPTION_INTERVAL_MS = 2_000;
/** A long silent agent is asked at the slower pace again. */
const FAST_RETRY_PERIOD_MS = 10_000;
/** Timers fire a little early or late. */
const TIMER_TOLERANCE_MS = 1;

/** Milliseconds between subscriptions at an agent that is silent; how often to call `run`. */
export const FAST_RETRY_INTERVAL_MS = 100;

/** Sends one subscription to many. */
export type SubscriptionSender = (agents: readonly Endpoint[], message: SubscribeMessage) => void;

/** What subscriptions say of the store's eras; as in {@link SubscribeMessage}. */
export type SubscriptionEras = Pick<SubscribeMessage, 'storeEra' | 'asksEra'>;

/** What one subscription says; agents that are told the same get the same datagram. */
interface SubscriptionContent {
  readonly listing: ListingStateValue;
  readonly includesNews: boolean;
}

/** Subscriptions of one balancer. */
export class AgentSubscriptions {
  private readonly subscribedAt = new Map<Endpoint, number>();
  private readonly ledger = new SentStateTracker();

  constructor(
    private readonly zone: string,
    private readonly directory: AgentDirectory,
    private readonly send: SubscriptionSender,
    private readonly news: () => DeploymentState,
    /** What the balancer knows of the store's eras. */
    private readonly eras: () => SubscriptionEras,
  ) {}

  /**
   * Subscribes wherever it is due.
   * @param isRecent whether what is known of the registry is recent
   */
  sendDue(now: number, isRecent: boolean): void {
    const news = this.news();
    const isRegistryKnown = isRecent && this.directory.isComplete;
    const due = new DueSubscriptions();
    for (const entry of this.directory.getAll()) {
      if (this.isDue(entry, now)) {
        this.subscribedAt.set(entry.address, now);
        const listing = determineListing(entry, isRegistryKnown);
        const tellsNews = this.ledger.markSentIfDue(entry.address, entry.report?.run, news);
        due.add({ listing, includesNews: tellsNews }, entry.address);
      }
    }
    due.forEach((content, agents) => this.send(agents, this.createMessage(content, news)));
  }

  /** Makes subscriptions due at once at the agents of some zones. */
  makeDueInZones(zones: readonly string[]): void {
    for (const { address, zone } of this.directory.getAll()) {
      if (zones.includes(zone)) {
        this.subscribedAt.delete(address);
      }
    }
  }

  /** Makes subscriptions due at once at all agents. */
  makeAllDue(): void {
    this.subscribedAt.clear();
  }

  /** Drops what is noted of agents that are no longer known. */
  expire(): void {
    for (const address of this.subscribedAt.keys()) {
      if (!this.directory.find(address)) {
        this.subscribedAt.delete(address);
      }
    }
    this.ledger.removeUnknownAgents((agent) => this.directory.find(agent) !== undefined);
  }

  private createMessage(
    { listing, includesNews: tellsNews }: SubscriptionContent,
    news: DeploymentState,
  ): SubscribeMessage {
    return {
      type: PacketMessageType.subscribe,
      zone: this.zone,
      interval: computeReportInterval(this.directory.size),
      listing,
      frameVersion: HOP_REPAIR_VERSION,
      ...this.eras(),
      ...(tellsNews ? news : UNKNOWN_DEPLOYMENT_STATE),
    };
  }

  /** An agent that has begun another run is told the news at once. */
  private isDue(entry: AgentEntry, now: number): boolean {
    const last = this.subscribedAt.get(entry.address) ?? -Infinity;
    const isOver = now - last >= this.getInterval(entry, now) - TIMER_TOLERANCE_MS;
    return isOver || this.ledger.hasNewRun(entry.address, entry.report?.run);
  }

  private getInterval(entry: AgentEntry, now: number): number {
    const silence = now - (entry.heardAt ?? entry.knownSince);
    const knocking = !this.directory.isHeard(entry, now) && silence < FAST_RETRY_PERIOD_MS;
    return knocking ? FAST_RETRY_INTERVAL_MS : SUBSCRIPTION_INTERVAL_MS;
  }
}

function determineListing(entry: AgentEntry, isRegistryKnown: boolean): ListingStateValue {
  if (!isRegistryKnown) {
    return ListingState.unknown;
  }
  return entry.registryRevision === undefined ? ListingState.missing : ListingState.listed;
}

/** Agents that are due for a subscription, by what it says. */
class DueSubscriptions {
  private readonly groups: {
    readonly content: SubscriptionContent;
    readonly agents: Endpoint[];
  }[] = [];

  add(content: SubscriptionContent, agent: Endpoint): void {
    const { listing, includesNews: tellsNews } = content;
    const group = this.groups.find(
      (one) => one.content.listing === listing && one.content.includesNews === tellsNews,
    );
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
