/** One balancer's reading of the store: starts and stops as {@link StoreReaders} decides. */
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

/** Time over which registry changes are batched: a rollout replaces many targets a second. */
const REGISTRY_PAUSE_MS = 1_000;
/**
 * Delay from the routing table's listing to the first long poll: by then the registry is listed
 * too, and a balancer that turns out not to need to read makes no further call.
 */
const LISTING_TIME_MS = 50;
/** Wait time of a registry poll; polls of the routing table show whether the store is reachable. */
const REGISTRY_WAIT_MS = 10_000;

/** Wait time of a poll of the evacuated zones, which change a few times a day. */
const EVACUATIONS_WAIT_MS = 10_000;

/**
 * Interval between probes of the store's connections, and timeout of a probe, as a share of the
 * apply time: a change delayed by an unresponsive connection is read after two thirds of it.
 */
const PROBE_INTERVAL_SHARE = 1 / 3;

/**
 * Delay after which a starting balancer without a view lists the registry, unless a peer already
 * sends it a snapshot: a running seed answers within the few ms of a round trip between zones. The
 * listing is small, and the listed agents name balancers, so a balancer whose seeds are down or
 * still starting finds the others.
 */
const DISCOVERY_DELAY_MS = 20;

/** Dependencies of the store reading. */
export interface StoreReadingDependencies {
  readonly environment: Environment;
  readonly self: Endpoint;
  /** Whether this balancer reads as soon as it starts. */
  readonly isFirst: boolean;
  /** Link bandwidth of this balancer in Mbit/s. */
  readonly linkSpeed: number;
  /** Milliseconds within which a change of the routing table must be active. */
  readonly applyTime: number;
  readonly routingTables: CollectionPort<RoutingTable>;
  readonly registry: AgentRegistryPort;
  /** Zones out of service; undefined in a deployment without evacuations. */
  readonly evacuatedZones: CollectionPort<EvacuatedZone> | undefined;
  readonly evacuations: ZoneEvacuationView;
  readonly storeProbe: StoreProbePort;
  /** Balancers known, this one included. */
  getClusterSize(): number;
  /** Whether this balancer has a routing table and knows all agents. */
  hasView(): boolean;
  /** Whether a peer's snapshot is being fetched. */
  isFetching(): boolean;
  applyTable(table: RoutingTable): void;
  applyListing(listing: Listing<AgentRecord>): void;
  applyChanges(changes: Changes<AgentRecord>): void;
  /** Called when the store has answered, so that other balancers can be notified. */
  onAnswer(): void;
}

/** Number of calls to the store by purpose. */
export interface StoreCalls {
  readonly routingListings: number;
  readonly routingWatches: number;
  readonly registryListings: number;
  readonly registryWatches: number;
  readonly evacuationListings: number;
  readonly evacuationWatches: number;
  /** Calls that check whether the connections to the store are alive. */
  readonly storeProbes: number;
}

/** Reading of the store by one balancer. */
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
    this.routing = this.createRoutingWatcher();
    this.registry = this.createRegistryWatcher();
    this.evacuations = this.createEvacuationWatcher();
  }

  /** Era of the store's latest answer to this balancer; 0 before any. */
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

  /** Whether the store has recently answered this balancer or a known reader. */
  get isRecent(): boolean {
    return this.readers.hasRecentAnswer(this.dependencies.environment.now());
  }

  /** Called once, at the start of this balancer. */
  start(): void {
    this.updateReading();
    this.scheduleDiscovery();
  }

  private scheduleDiscovery(): void {
    const { environment } = this.dependencies;
    this.discoveryTimer = environment.startTimer(DISCOVERY_DELAY_MS, () => this.discoverPeers());
  }

  private discoverPeers(): void {
    const { hasView, isFetching, registry, applyListing, environment } = this.dependencies;
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
        applyListing(result.val);
        return;
      }
      const { number, name } = result.val.resultCode;
      const reason = `${name}: ${result.val.message}`;
      environment.report(Events.storeUnavailable, { collection: 'agents', code: number, reason });
    });
  }

  /** Starts or stops reading if due; to be called often. */
  updateReading(): void {
    if (this.isStopped) {
      return;
    }
    this.applyDecision(this.readers.decide(this.circumstances));
    this.probeConnections();
  }

  /** While calls wait long, probes check whether their connections are alive. */
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
      case 'stop':
        this.stopWatchers();
        this.reportReading();
        return;
      case 'unchanged':
        this.scheduleUpdate();
    }
  }

  /** Uses a timer of its own, so that the first of many balancers saves the others their calls. */
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

  /** Ends all calls permanently. */
  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
    this.discoveryTimer?.cancel();
    this.stopWatchers();
  }

  /** Merges the readers announced by another balancer. */
  mergeReaders(readers: readonly StoreReader[]): void {
    this.readers.mergeReaders(readers, this.dependencies.environment.now());
  }

  /** The readers with the latest answers, to announce to other balancers. */
  getLatestReaders(): StoreReader[] {
    return this.readers.getLatestReaders(this.dependencies.environment.now());
  }

  private get circumstances(): ReadingCircumstances {
    const { environment, getClusterSize, hasView } = this.dependencies;
    return {
      now: environment.now(),
      isReading: this.isReading,
      clusterSize: getClusterSize(),
      hasView: hasView(),
    };
  }

  private stopWatchers(): void {
    this.routing.stop();
    this.registry.stop();
    this.evacuations?.stop();
  }

  private createRoutingWatcher(): CollectionWatcher<RoutingTable> {
    const { environment, routingTables, applyTable } = this.dependencies;
    return new CollectionWatcher(
      'routing',
      routingTables,
      environment,
      {
        listed: ({ items }) => {
          items.forEach(({ item }) => applyTable(item));
          this.recordAnswer();
          if (this.isReading) {
            this.registry.start();
            this.evacuations?.start();
          }
        },
        changed: ({ changes }) => {
          changes.filter(({ removed }) => !removed).forEach(({ item }) => applyTable(item));
          this.recordAnswer();
        },
        failed: () => this.recordFailure(),
      },
      () => this.routingPace,
    );
  }

  private createRegistryWatcher(): CollectionWatcher<AgentRecord> {
    const { environment, registry, applyListing, applyChanges } = this.dependencies;
    const observer = {
      listed: (listing: Listing<AgentRecord>): void => {
        applyListing(listing);
        this.updateReading();
      },
      changed: applyChanges,
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

  private createEvacuationWatcher(): CollectionWatcher<EvacuatedZone> | undefined {
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

  private recordFailure(): void {
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
