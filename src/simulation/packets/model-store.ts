/** The store of the packet interface in the simulation, with its faults. */
import { Ok, type Result } from 'ts-results';
import { createFailure, type HallholdError } from '../../errors/hallhold-error';
import { ResultCodes } from '../../errors/result-codes';
import type {
  AgentRegistryPort,
  ResultCallback,
  Change,
  Changes,
  CollectionPort,
  Listing,
  StoreProbePort,
} from '../../packets/collection-port';
import type { AgentRecord } from '../../packets/packet-messages';
import type { StorePosition } from '../../packets/store-position';
import type { RoutingTable } from '../../packets/routing-table';
import type { EvacuatedZone } from '../../packets/zone-evacuations';
import type { SimulatedProcess } from '../simulated-process';
import type { VirtualClock } from '../virtual-clock';

const DEFAULT_ANSWER_TIME_MS = 4;
const CALL_TIMEOUT_MS = 1_500;

interface Watcher {
  readonly after: StorePosition;
  notify(): void;
}

/** One collection with its history. */
class ModelCollection<T> {
  readonly items = new Map<string, Change<T>>();
  history: Change<T>[] = [];
  oldestRevision = 0;
  watchers: Watcher[] = [];

  /** Holds what a copy holds; calls that wait are cut. */
  restore(items: readonly Change<T>[], revision: number): void {
    this.items.clear();
    items.forEach((item) => this.items.set(item.name, item));
    this.history = [];
    this.oldestRevision = revision;
    [...this.watchers].forEach((watcher) => watcher.notify());
  }
}

/** What the store held at some time. */
export interface ModelStoreBackup {
  readonly revision: number;
  readonly routing: readonly Change<RoutingTable>[];
  readonly agents: readonly Change<AgentRecord>[];
  readonly evacuations: readonly Change<EvacuatedZone>[];
}

/** All collections under one revision counter. */
export class ModelStore {
  readonly routing = new ModelCollection<RoutingTable>();
  readonly agents = new ModelCollection<AgentRecord>();
  readonly evacuations = new ModelCollection<EvacuatedZone>();
  /** The store answers nobody. */
  isDown = false;
  /** Milliseconds from a call to its answer. */
  answerTime = DEFAULT_ANSWER_TIME_MS;
  /** Calls that have come, answered or not. */
  calls = 0;
  /** Machines whose calls are refused at once. */
  readonly refusedProcesses = new Set<string>();
  private revision = 1;
  private era = 1;

  constructor(private readonly clock: VirtualClock) {}

  /** The operator writes a routing table. */
  writeRouting(table: RoutingTable): void {
    this.applyChange(this.routing, 'main', table, false);
  }

  /** The operator takes a zone out of service. */
  evacuate(zone: string): void {
    this.applyChange(this.evacuations, zone, { zone }, false);
  }

  /** The operator puts a zone back into service. */
  cancelEvacuation(zone: string): void {
    this.applyChange(this.evacuations, zone, { zone }, true);
  }

  /** An agent's entry is lost, though its owner lives. */
  removeAgentEntry(name: string): void {
    const known = this.agents.items.get(name);
    if (known) {
      this.applyChange(this.agents, name, known.item, true);
    }
  }

  /** A copy of all that the store holds now. */
  createBackup(): ModelStoreBackup {
    return {
      revision: this.revision,
      routing: [...this.routing.items.values()],
      agents: [...this.agents.items.values()],
      evacuations: [...this.evacuations.items.values()],
    };
  }

  /** Comes back from a copy: what was written since is gone, and its revisions are given out again. */
  restoreFrom(backup: ModelStoreBackup): void {
    this.revision = backup.revision;
    this.era++;
    this.routing.restore(backup.routing, backup.revision);
    this.agents.restore(backup.agents, backup.revision);
    this.evacuations.restore(backup.evacuations, backup.revision);
  }

  /** Writes of others, so that the revision passes one that it had before. */
  advanceRevision(revisions: number): void {
    this.revision += revisions;
  }

  /** Forgets all history. */
  compactHistory(): void {
    for (const collection of [this.routing, this.agents, this.evacuations]) {
      collection.history = [];
      collection.oldestRevision = this.revision;
    }
  }

  /** The routing collection as one process reaches it. */
  createRoutingPort(process: SimulatedProcess): CollectionPort<RoutingTable> {
    return this.createPort(this.routing, process);
  }

  /** The evacuated zones as one process reaches them. */
  createEvacuationsPort(process: SimulatedProcess): CollectionPort<EvacuatedZone> {
    return this.createPort(this.evacuations, process);
  }

  /** The registry as one process reaches it. */
  createRegistryPort(process: SimulatedProcess): AgentRegistryPort {
    return {
      ...this.createPort(this.agents, process),
      register: (agent, answer) =>
        this.call(process, answer, () => {
          const known = this.agents.items.get(String(agent.address));
          if (known?.item.service !== agent.service || known.item.zone !== agent.zone) {
            this.applyChange(this.agents, String(agent.address), agent, false);
          }
          return new Ok(undefined);
        }),
      remove: (agent, entered, answer) =>
        this.call(process, answer, () => {
          const known = this.agents.items.get(String(agent.address));
          const isOther = entered?.era !== this.era || known?.revision !== entered.revision;
          if (known && entered !== undefined && isOther) {
            return createFailure(ResultCodes.storeConflict, 'another revision');
          }
          if (known) {
            this.applyChange(this.agents, known.name, known.item, true);
          }
          return new Ok(undefined);
        }),
    };
  }

  /** The probe of one process's connections, which never fall silent here. */
  createProbePort(process: SimulatedProcess): StoreProbePort {
    return {
      check: (_timeout, answer) => this.call(process, answer, () => new Ok(undefined)),
    };
  }

  private createPort<T>(
    collection: ModelCollection<T>,
    process: SimulatedProcess,
  ): CollectionPort<T> {
    return {
      list: (answer: ResultCallback<Listing<T>>) =>
        this.call(process, answer, () => {
          const items = [...collection.items.values()];
          return new Ok({ items, skipped: 0, era: this.era, revision: this.revision });
        }),
      awaitChanges: (after, waitTime, answer) =>
        this.watch(collection, process, after, waitTime, answer),
    };
  }

  private watch<T>(
    collection: ModelCollection<T>,
    process: SimulatedProcess,
    after: StorePosition,
    waitTime: number,
    answer: ResultCallback<Changes<T>>,
  ): void {
    if (!this.isReachableFrom(process)) {
      this.call(process, answer, () => undefined);
      return;
    }
    let isFinished = false;
    const finish = (): void => {
      if (isFinished) {
        return;
      }
      isFinished = true;
      collection.watchers = collection.watchers.filter((one) => one !== watcher);
      this.call(process, answer, () => this.listChangesAfter(collection, after));
    };
    const watcher: Watcher = { after, notify: finish };
    collection.watchers.push(watcher);
    const hasChanges = collection.history.some(({ revision }) => revision > after.revision);
    if (hasChanges || this.isHistoryUnavailable(collection, after)) {
      finish();
    }
    this.clock.schedule(waitTime, finish);
  }

  private listChangesAfter<T>(
    collection: ModelCollection<T>,
    after: StorePosition,
  ): Result<Changes<T>, HallholdError> {
    if (after.era !== this.era) {
      return createFailure(ResultCodes.storeEraChanged, 'another era');
    }
    if (this.isHistoryUnavailable(collection, after)) {
      return createFailure(ResultCodes.storeWatchExpired, 'history gone');
    }
    const changes = collection.history.filter(({ revision }) => revision > after.revision);
    return new Ok({ changes, skipped: 0, era: this.era, revision: this.revision });
  }

  /** Whether the history after a moment is not to be had. */
  private isHistoryUnavailable<T>(
    { oldestRevision: oldest }: ModelCollection<T>,
    { era, revision }: StorePosition,
  ): boolean {
    return era !== this.era || revision < oldest || revision > this.revision;
  }

  private applyChange<T>(
    collection: ModelCollection<T>,
    name: string,
    item: T,
    removed: boolean,
  ): void {
    const change: Change<T> = { name, revision: ++this.revision, item, removed };
    if (removed) {
      collection.items.delete(name);
    } else {
      collection.items.set(name, change);
    }
    collection.history.push(change);
    [...collection.watchers].forEach((watcher) => watcher.notify());
  }

  private isReachableFrom(process: SimulatedProcess): boolean {
    return !this.isDown && !this.refusedProcesses.has(process.name);
  }

  /** Runs a call after the store's answer time; `act` answers undefined to say nothing yet. */
  private call<T>(
    process: SimulatedProcess,
    answer: ResultCallback<T>,
    act: () => Result<T, HallholdError> | undefined,
  ): void {
    this.calls++;
    const respond = (result: Result<T, HallholdError>): void => process.run(() => answer(result));
    if (this.refusedProcesses.has(process.name)) {
      const refusal = createFailure(ResultCodes.storeUnavailable, 'refused');
      this.clock.schedule(this.answerTime, () => respond(refusal));
    } else if (this.isDown) {
      const timeout = createFailure(ResultCodes.storeUnavailable, 'no answer in time');
      this.clock.schedule(CALL_TIMEOUT_MS, () => respond(timeout));
    } else {
      this.clock.schedule(this.answerTime, () => {
        const result = act();
        if (result) {
          respond(result);
        }
      });
    }
  }
}
