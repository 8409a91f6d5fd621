/** One balancer's reading of the store: begins and ends as {@link StoreReaders} decides. */
import type { Endpoint, Environment, TimerHandle } from '../environment';
import type { HallholdError } from '../errors/hallhold-error';
import { Events } from '../logging/events';
import { CollectionWatcher, type WatchPacing } from './collection-watcher';
import type {
  AgentRegistryPort,
  Changes,
  CollectionPort,
  Listing,
  StoreProbePort,
} from './collection-port';
import type { AgentRecord } from './packet-messages';
import type { RoutingTable } from './routing-table';
import type { EvacuatedZone, ZoneEvacuationView } from './zone-evacuations';
import {
  StoreReaders,
  type ReadingCircumstances,
  type ReadingDecision,
  type StoreReader,
} from './store-readers';

/** Milliseconds in which changes of the registry gather: releases replace many targets a second. */
const REGISTRY_PAUSE_MS = 1_000;
/**
 * Milliseconds from the routing table's listing to the first waiting call: by then the registry is
 * listed too, and a balancer that need not read after all makes no further call.
 */
const LISTING_TIME_MS = 50;
/** Milliseconds that a call at the registry waits: calls at the routing table prove the way. */
const REGISTRY_WAIT_MS = 10_000;

/** Milliseconds that a call at the evacuated zones waits: they change a few times a day. */
const EVACUATIONS_WAIT_MS = 10_000;

/**
 * Part of the time in which a change must be in force that lies between two probes of the store's
 * connections, and that a probe waits for its answer: a change that a silent connection holds back
 * is then read after two thirds of that time.
 */
const PROBE_INTERVAL_SHARE = 1 / 3;

/**
 * Milliseconds after its start at which a balancer without a view lists the registry, if nobody
 * helps it yet: a seed that runs answers within the round trip of a few ms between zones. The listing
 * is small, and the agents listed there name balancers: one whose seeds are down or still starting
 * finds the others that way.
 */
const DISCOVERY_DELAY_MS = 20;

/** What the reading works with. */
export interface StoreReadingDependencies {
  readonly environment: Environment;
  readonly self: Endpoint;
  /** Whether this balancer reads as soon as it starts. */
  readonly isFirst: boolean;
  /** Megabits a second that this balancer can receive. */
  readonly linkSpeed: number;
  /** Milliseconds in which a change of the routing table must be in force. */
  readonly applyTime: number;
  readonly routingTables: CollectionPort<RoutingTable>;
  readonly registry: AgentRegistryPort;
  /** Zones out of service; undefined in a deployment that evacuates none. */
  readonly evacuatedZones: CollectionPort<EvacuatedZone> | undefined;
  readonly evacuations: ZoneEvacuationView;
  readonly storeProbe: StoreProbePort;
  /** Balancers known, this one included. */
  getClusterSize(): number;
  /** Whether this balancer has a routing table and knows all agents. */
  hasView(): boolean;
  /** Whether a peer's view is on its way. */
  isFetching(): boolean;
  applyTable(table: RoutingTable): void;
  applyListing(listing: Listing<AgentRecord>): void;
  applyChanges(changes: Changes<AgentRecord>): void;
  /** The store has answered: others are to hear of it. */
  onAnswer(): void;
}

/** Calls to the store by their reason. */
export interface StoreCalls {
  readonly routingListings: number;
  readonly routingWatches: number;
  readonly registryListings: number;
  readonly registryWatches: number;
  readonly evacuationListings: number;
  readonly evacuationWatches: number;
  /** Calls that show whether the connections to the store are alive. */
  readonly storeProbes: number;
}

/** The reading of one balancer. */
export class StoreReading {
  private readonly readers: StoreReaders;
  private readonly routing: CollectionWatcher<RoutingTable>;
  private readonly registry: CollectionWatcher<AgentRecord>;
  private readonly evacuations: CollectionWatcher<EvacuatedZone> | undefined;
  private isStopped = false;
  private timer: TimerHandle | undefined;
  private discoveryTimer: TimerHandle | undefined;
  private discoveryCalls = 0;
  private lastProbeAt = -Infinity;
  private probeCalls = 0;

  constructor(private readonly dependencies: StoreReadingDependencies) {
    const { environment, self, isFirst, linkSpeed, applyTime } = dependencies;
    const random = (): number => environment.random();
    this.readers = new StoreReaders(self, applyTime, isFirst, linkSpeed, environment.now(), random);
    this.routing = this.createRoutingFollower();
    this.registry = this.createRegistryFollower();
    this.evacuations = this.createEvacuationFollower();
  }

  /** The era of the store's latest answer to this balancer; 0 before any. */
  get era(): number {
    return this.routing.era;
  }

  /** Whether this balancer reads the store itself. */
  get isReading(): boolean {
    return this.routing.isRunning;
  }

  get calls(): StoreCalls {
    return {
      routingListings: this.routing.calls.listings,
      routingWatches: this.routing.calls.watches,
      registryListings: this.registry.calls.listings + this.discoveryCalls,
      registryWatches: this.registry.calls.watches,
      evacuationListings: this.evacuations?.calls.listings ?? 0,
      evacuationWatches: this.evacuations?.calls.watches ?? 0,
      storeProbes: this.probeCalls,
    };
  }

  /** Whether what this balancer has been told, or has read, is recent. */
  get isRecent(): boolean {
    return this.readers.hasRecentAnswer(this.dependencies.environment.now());
  }

  /** Once, at the start of this balancer. */
  start(): void {
    this.updateReading();
    this.scheduleDiscovery();
  }

  private scheduleDiscovery(): void {
    const { environment } = this.dependencies;
    this.discoveryTimer = environment.startTimer(DISCOVERY_DELAY_MS, () => this.discoverPeers());
  }

  private discoverPeers(): void {
    const {
      hasView,
      isFetching,
      registry,
      applyListing: takeListing,
      environment,
    } = this.dependencies;
    if (this.isStopped || this.isReading || hasView()) {
      return;
    }
    if (isFetching()) {
      this.scheduleDiscovery();
      return;
    }
    this.discoveryCalls++;
    registry.list((result) => {
      if (result.ok) {
        takeListing(result.val);
        return;
      }
      const { number, name } = result.val.resultCode;
      const reason = `${name}: ${result.val.message}`;
      environment.report(Events.storeUnavailable, { collection: 'agents', code: number, reason });
    });
  }

  /** Begins or stops reading if it is time for it; to be called often. */
  updateReading(): void {
    if (this.isStopped) {
      return;
    }
    this.applyDecision(this.readers.decide(this.circumstances));
    this.probeConnections();
  }

  /** Where calls wait long, a probe shows in between whether their connections are alive. */
  private probeConnections(): void {
    const { environment, applyTime, storeProbe } = this.dependencies;
    const now = environment.now();
    const interval = applyTime * PROBE_INTERVAL_SHARE;
    const waitsLong = !this.readers.usesSharedReaders(this.circumstances);
    if (!this.isReading || !waitsLong || now - this.lastProbeAt < interval) {
      return;
    }
    this.lastProbeAt = now;
    this.probeCalls++;
    storeProbe.check(interval, (result) => {
      if (result.err) {
        this.reportProbeFailure(result.val);
      }
    });
  }

  private reportProbeFailure({ resultCode, message }: HallholdError): void {
    const { number, name } = resultCode;
    this.dependencies.environment.report(Events.storeProbeFailed, {
      code: number,
      reason: `${name}: ${message}`,
    });
  }

  private applyDecision(decision: ReadingDecision): void {
    switch (decision) {
      case 'read':
        this.routing.start();
        this.reportReading();
        return;
      case 'rest':
        this.stopFollowers();
        this.reportReading();
        return;
      case 'unchanged':
        this.scheduleUpdate();
    }
  }

  /** Delays are drawn finely, so that the first of many balancers spares the others their calls. */
  private scheduleUpdate(): void {
    const { environment } = this.dependencies;
    const { dueAt } = this.readers;
    if (dueAt === undefined || this.timer) {
      return;
    }
    const delay = Math.max(1, Math.ceil(dueAt - environment.now()));
    this.timer = environment.startTimer(delay, () => {
      this.timer = undefined;
      this.updateReading();
    });
  }

  /** Ends all calls for good. */
  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
    this.discoveryTimer?.cancel();
    this.stopFollowers();
  }

  /** Takes what another balancer tells of readers. */
  mergeReaders(readers: readonly StoreReader[]): void {
    this.readers.mergeReaders(readers, this.dependencies.environment.now());
  }

  /** The readers, for other balancers. */
  getLatestReaders(): StoreReader[] {
    return this.readers.getLatestReaders(this.dependencies.environment.now());
  }

  private get circumstances(): ReadingCircumstances {
    const { environment, getClusterSize: clusterSize, hasView } = this.dependencies;
    return {
      now: environment.now(),
      isReading: this.isReading,
      clusterSize: clusterSize(),
      hasView: hasView(),
    };
  }

  private stopFollowers(): void {
    this.routing.stop();
    this.registry.stop();
    this.evacuations?.stop();
  }

  private createRoutingFollower(): CollectionWatcher<RoutingTable> {
    const { environment, routingTables, applyTable: takeTable } = this.dependencies;
    return new CollectionWatcher(
      'routing',
      routingTables,
      environment,
      {
        listed: ({ items }) => {
          items.forEach(({ item }) => takeTable(item));
          this.recordAnswer();
          if (this.isReading) {
            this.registry.start();
            this.evacuations?.start();
          }
        },
        changed: ({ changes }) => {
          changes.filter(({ removed }) => !removed).forEach(({ item }) => takeTable(item));
          this.recordAnswer();
        },
        failed: () => this.failed(),
      },
      () => this.routingPace,
    );
  }

  private createRegistryFollower(): CollectionWatcher<AgentRecord> {
    const {
      environment,
      registry,
      applyListing: takeListing,
      applyChanges: takeChanges,
    } = this.dependencies;
    const observer = {
      listed: (listing: Listing<AgentRecord>): void => {
        takeListing(listing);
        this.updateReading();
      },
      changed: takeChanges,
    };
    return new CollectionWatcher('agents', registry, environment, observer, () => {
      const isForAll = this.readers.usesSharedReaders(this.circumstances);
      return {
        waitTime: REGISTRY_WAIT_MS,
        pause: isForAll ? REGISTRY_PAUSE_MS : 0,
        firstPause: 0,
      };
    });
  }

  private createEvacuationFollower(): CollectionWatcher<EvacuatedZone> | undefined {
    const { environment, evacuatedZones, evacuations } = this.dependencies;
    if (!evacuatedZones) {
      return undefined;
    }
    const observer = {
      listed: (listing: Listing<EvacuatedZone>): void => {
        evacuations.applyListing(listing);
        this.updateReading();
      },
      changed: (changes: Changes<EvacuatedZone>): void => evacuations.applyChanges(changes),
    };
    return new CollectionWatcher('evacuations', evacuatedZones, environment, observer, () => ({
      waitTime: EVACUATIONS_WAIT_MS,
      pause: 0,
      firstPause: LISTING_TIME_MS,
    }));
  }

  private get routingPace(): WatchPacing {
    const isForAll = this.readers.usesSharedReaders(this.circumstances);
    return { waitTime: this.readers.getWaitTime(isForAll), pause: 0, firstPause: LISTING_TIME_MS };
  }

  private recordAnswer(): void {
    this.readers.recordAnswer(this.dependencies.environment.now());
    this.dependencies.onAnswer();
  }

  private failed(): void {
    this.applyDecision(this.readers.recordFailure(this.circumstances));
  }

  private reportReading(): void {
    const { isReading } = this;
    this.dependencies.environment.report(
      isReading ? Events.storeReadingStarted : Events.storeReadingStopped,
      { recent: this.readers.getLatestReaders(this.dependencies.environment.now()).length },
    );
  }
}
