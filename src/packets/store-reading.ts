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
const REGISTRY_PAUSE = 1_000;
/**
 * Milliseconds from the routing table's listing to the first waiting call: by then the registry is
 * listed too, and a balancer that need not read after all makes no further call.
 */
const LISTING_TIME = 50;
/** Milliseconds that a call at the registry waits: calls at the routing table prove the way. */
const REGISTRY_WAIT = 10_000;

/** Milliseconds that a call at the evacuated zones waits: they change a few times a day. */
const EVACUATIONS_WAIT = 10_000;

/**
 * Part of the time in which a change must be in force that lies between two probes of the store's
 * connections, and that a probe waits for its answer: a change that a silent connection holds back
 * is then read after two thirds of that time.
 */
const PROBE_SHARE = 1 / 3;

/**
 * Milliseconds after its start at which a balancer without a view lists the registry, if nobody
 * helps it yet: a seed that runs answers within the round trip of a few ms between zones. The listing
 * is small, and the agents listed there name balancers: one whose seeds are down or still starting
 * finds the others that way.
 */
const DISCOVERY_DELAY = 20;

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
  clusterSize(): number;
  /** Whether this balancer has a routing table and knows all agents. */
  hasView(): boolean;
  /** Whether a peer's view is on its way. */
  isFetching(): boolean;
  takeTable(table: RoutingTable): void;
  takeListing(listing: Listing<AgentRecord>): void;
  takeChanges(changes: Changes<AgentRecord>): void;
  /** The store has answered: others are to hear of it. */
  answered(): void;
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
  private stopped = false;
  private timer: TimerHandle | undefined;
  private discoveryTimer: TimerHandle | undefined;
  private discoveries = 0;
  private probedAt = -Infinity;
  private probes = 0;

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
      registryListings: this.registry.calls.listings + this.discoveries,
      registryWatches: this.registry.calls.watches,
      evacuationListings: this.evacuations?.calls.listings ?? 0,
      evacuationWatches: this.evacuations?.calls.watches ?? 0,
      storeProbes: this.probes,
    };
  }

  /** Whether what this balancer has been told, or has read, is recent. */
  get isRecent(): boolean {
    return this.readers.hasRecent(this.dependencies.environment.now());
  }

  /** Once, at the start of this balancer. */
  start(): void {
    this.run();
    this.waitForOthers();
  }

  private waitForOthers(): void {
    const { environment } = this.dependencies;
    this.discoveryTimer = environment.startTimer(DISCOVERY_DELAY, () => this.findOthers());
  }

  private findOthers(): void {
    const { hasView, isFetching, registry, takeListing, environment } = this.dependencies;
    if (this.stopped || this.isReading || hasView()) {
      return;
    }
    if (isFetching()) {
      this.waitForOthers();
      return;
    }
    this.discoveries++;
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
  run(): void {
    if (this.stopped) {
      return;
    }
    this.follow(this.readers.decide(this.circumstances));
    this.checkConnections();
  }

  /** Where calls wait long, a probe shows in between whether their connections are alive. */
  private checkConnections(): void {
    const { environment, applyTime, storeProbe } = this.dependencies;
    const now = environment.now();
    const interval = applyTime * PROBE_SHARE;
    const waitsLong = !this.readers.readForAll(this.circumstances);
    if (!this.isReading || !waitsLong || now - this.probedAt < interval) {
      return;
    }
    this.probedAt = now;
    this.probes++;
    storeProbe.check(interval, (result) => {
      if (result.err) {
        this.reportProbe(result.val);
      }
    });
  }

  private reportProbe({ resultCode, message }: HallholdError): void {
    const { number, name } = resultCode;
    this.dependencies.environment.report(Events.storeProbeFailed, {
      code: number,
      reason: `${name}: ${message}`,
    });
  }

  private follow(decision: ReadingDecision): void {
    switch (decision) {
      case 'read':
        this.routing.start();
        this.report();
        return;
      case 'rest':
        this.rest();
        this.report();
        return;
      case 'unchanged':
        this.runWhenDue();
    }
  }

  /** Delays are drawn finely, so that the first of many balancers spares the others their calls. */
  private runWhenDue(): void {
    const { environment } = this.dependencies;
    const { dueAt } = this.readers;
    if (dueAt === undefined || this.timer) {
      return;
    }
    const delay = Math.max(1, Math.ceil(dueAt - environment.now()));
    this.timer = environment.startTimer(delay, () => {
      this.timer = undefined;
      this.run();
    });
  }

  /** Ends all calls for good. */
  stop(): void {
    this.stopped = true;
    this.timer?.cancel();
    this.discoveryTimer?.cancel();
    this.rest();
  }

  /** Takes what another balancer tells of readers. */
  learn(readers: readonly StoreReader[]): void {
    this.readers.learn(readers, this.dependencies.environment.now());
  }

  /** The readers, for other balancers. */
  tell(): StoreReader[] {
    return this.readers.tell(this.dependencies.environment.now());
  }

  private get circumstances(): ReadingCircumstances {
    const { environment, clusterSize, hasView } = this.dependencies;
    return {
      now: environment.now(),
      isReading: this.isReading,
      clusterSize: clusterSize(),
      hasView: hasView(),
    };
  }

  private rest(): void {
    this.routing.stop();
    this.registry.stop();
    this.evacuations?.stop();
  }

  private createRoutingFollower(): CollectionWatcher<RoutingTable> {
    const { environment, routingTables, takeTable } = this.dependencies;
    return new CollectionWatcher(
      'routing',
      routingTables,
      environment,
      {
        listed: ({ items }) => {
          items.forEach(({ item }) => takeTable(item));
          this.answered();
          if (this.isReading) {
            this.registry.start();
            this.evacuations?.start();
          }
        },
        changed: ({ changes }) => {
          changes.filter(({ removed }) => !removed).forEach(({ item }) => takeTable(item));
          this.answered();
        },
        failed: () => this.failed(),
      },
      () => this.routingPace,
    );
  }

  private createRegistryFollower(): CollectionWatcher<AgentRecord> {
    const { environment, registry, takeListing, takeChanges } = this.dependencies;
    const observer = {
      listed: (listing: Listing<AgentRecord>): void => {
        takeListing(listing);
        this.run();
      },
      changed: takeChanges,
    };
    return new CollectionWatcher('agents', registry, environment, observer, () => {
      const isForAll = this.readers.readForAll(this.circumstances);
      return {
        waitTime: REGISTRY_WAIT,
        pause: isForAll ? REGISTRY_PAUSE : 0,
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
        evacuations.takeListing(listing);
        this.run();
      },
      changed: (changes: Changes<EvacuatedZone>): void => evacuations.takeChanges(changes),
    };
    return new CollectionWatcher('evacuations', evacuatedZones, environment, observer, () => ({
      waitTime: EVACUATIONS_WAIT,
      pause: 0,
      firstPause: LISTING_TIME,
    }));
  }

  private get routingPace(): WatchPacing {
    const isForAll = this.readers.readForAll(this.circumstances);
    return { waitTime: this.readers.waitTime(isForAll), pause: 0, firstPause: LISTING_TIME };
  }

  private answered(): void {
    this.readers.answered(this.dependencies.environment.now());
    this.dependencies.answered();
  }

  private failed(): void {
    this.follow(this.readers.failed(this.circumstances));
  }

  private report(): void {
    const { isReading } = this;
    this.dependencies.environment.report(
      isReading ? Events.storeReadingStarted : Events.storeReadingStopped,
      { recent: this.readers.tell(this.dependencies.environment.now()).length },
    );
  }
}
