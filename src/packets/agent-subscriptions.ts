/** A balancer's requests for reports: often at agents that are silent, else now and then. */
import type { Endpoint } from '../environment';
import type { AgentDirectory, AgentEntry } from './agent-directory';
import {
  ListingState,
  PacketMessageType,
  REPAIR_VERSION,
  type ListingStateValue,
  type SubscribeMessage,
} from './packet-messages';
import { reportInterval } from './report-interval';
import type { ServiceProfiles } from './routing-table';
import type { ZoneEvacuations } from './zone-evacuations';

/** Milliseconds between subscriptions at an agent that is heard. */
const SUBSCRIPTION_INTERVAL = 2_000;
/** A long silent agent is asked at the slower pace again. */
const KNOCK_TIME = 10_000;
/** Timers fire a little early or late. */
const TOLERANCE = 1;

/** Milliseconds between subscriptions at an agent that is silent; how often to call `run`. */
export const KNOCK_INTERVAL = 100;

/** Sends one subscription to many. */
export type SubscriptionSender = (agents: readonly Endpoint[], message: SubscribeMessage) => void;

/** What every subscription tells an agent of the deployment. */
export interface DeploymentNews {
  readonly evacuations: ZoneEvacuations;
  readonly profiles: ServiceProfiles;
}

/** Subscriptions of one balancer. */
export class AgentSubscriptions {
  private readonly subscribedAt = new Map<Endpoint, number>();

  constructor(
    private readonly zone: string,
    private readonly directory: AgentDirectory,
    private readonly send: SubscriptionSender,
    private readonly news: () => DeploymentNews,
  ) {}

  /**
   * Subscribes wherever it is due.
   * @param isRecent whether what is known of the registry is recent
   */
  run(now: number, isRecent: boolean): void {
    const due = new Map<ListingStateValue, Endpoint[]>();
    for (const entry of this.directory.all()) {
      const last = this.subscribedAt.get(entry.address) ?? -Infinity;
      if (now - last >= this.intervalOf(entry, now) - TOLERANCE) {
        this.subscribedAt.set(entry.address, now);
        const listing = listingOf(entry, isRecent && this.directory.isComplete);
        due.set(listing, [...(due.get(listing) ?? []), entry.address]);
      }
    }
    due.forEach((agents, listing) => this.send(agents, this.createMessage(listing)));
  }

  /** Makes subscriptions due at once at the agents of some zones. */
  forgetIn(zones: readonly string[]): void {
    for (const { address, zone } of this.directory.all()) {
      if (zones.includes(zone)) {
        this.subscribedAt.delete(address);
      }
    }
  }

  /** Makes subscriptions due at once at all agents. */
  forgetAll(): void {
    this.subscribedAt.clear();
  }

  /** Drops what is noted of agents that are no longer known. */
  expire(): void {
    for (const address of this.subscribedAt.keys()) {
      if (!this.directory.find(address)) {
        this.subscribedAt.delete(address);
      }
    }
  }

  private createMessage(listing: ListingStateValue): SubscribeMessage {
    return {
      type: PacketMessageType.subscribe,
      zone: this.zone,
      interval: reportInterval(this.directory.size),
      listing,
      frameVersion: REPAIR_VERSION,
      ...this.news(),
    };
  }

  private intervalOf(entry: AgentEntry, now: number): number {
    const silence = now - (entry.heardAt ?? entry.knownSince);
    const knocking = !this.directory.isHeard(entry, now) && silence < KNOCK_TIME;
    return knocking ? KNOCK_INTERVAL : SUBSCRIPTION_INTERVAL;
  }
}

function listingOf(entry: AgentEntry, isRegistryKnown: boolean): ListingStateValue {
  if (!isRegistryKnown) {
    return ListingState.unknown;
  }
  return entry.registryRevision === undefined ? ListingState.missing : ListingState.listed;
}
