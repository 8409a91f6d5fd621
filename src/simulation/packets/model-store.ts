/** Model of the packet interface's store, with its faults. */
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

/** A collection with its change history. */
class ModelCollection<T> {
  readonly items = new Map<string, Change<T>>();
  history: Change<T>[] = [];
  oldestRevision = 0;
  watchers: Watcher[] = [];

  /** Restores the items of a backup; open long polls end. */
  restore(items: readonly Change<T>[], revision: number): void {
    this.items.clear();
    items.forEach((item) => this.items.set(item.name, item));
    this.history = [];
    this.oldestRevision = revision;
    [...this.watchers].forEach((watcher) => watcher.notify());
  }
}

/** Backup of the store's contents. */
export interface ModelStoreBackup {
  readonly revision: number;
  readonly routing: readonly Change<RoutingTable>[];
  readonly agents: readonly Change<AgentRecord>[];
  readonly evacuations: readonly Change<EvacuatedZone>[];
}

/** All collections, with one common revision counter. */
export class ModelStore {
  readonly routing = new ModelCollection<RoutingTable>();
  readonly agents = new ModelCollection<AgentRecord>();
  readonly evacuations = new ModelCollection<EvacuatedZone>();
  /** Calls are not answered. */
  isDown = false;
  /** Delay of an answer, in milliseconds. */
  answerTime = DEFAULT_ANSWER_TIME_MS;
  /** Number of calls received, answered or not. */
  calls = 0;
  /** Names of processes whose calls are refused. */
  readonly refusedProcesses = new Set<string>();
  private revision = 1;
  private era = 1;

  constructor(private readonly clock: VirtualClock) {}

  /** Writes a routing table, as the operator does. */
  writeRouting(table: RoutingTable): void {
    this.applyChange(this.routing, 'main', table, false);
  }

  /** Evacuates a zone, as the operator does. */
  evacuate(zone: string): void {
    this.applyChange(this.evacuations, zone, { zone }, false);
  }

  /** Ends the evacuation of a zone, as the operator does. */
  cancelEvacuation(zone: string): void {
    this.applyChange(this.evacuations, zone, { zone }, true);
  }

  /** Writes an agent's entry, as another program may do. */
  writeAgentEntry(name: string, agent: AgentRecord): void {
    this.applyChange(this.agents, name, agent, false);
  }

  /** Removes an agent's entry while the agent still runs. */
  removeAgentEntry(name: string): void {
    const known = this.agents.items.get(name);
    if (known) {
      this.applyChange(this.agents, name, known.item, true);
    }
  }

  /** Creates a backup of the current contents. */
  createBackup(): ModelStoreBackup {
    return {
      revision: this.revision,
      routing: [...this.routing.items.values()],
      agents: [...this.agents.items.values()],
      evacuations: [...this.evacuations.items.values()],
    };
  }

  /** Restores a backup: later writes are lost and their revision numbers are assigned again. */
  restoreFrom(backup: ModelStoreBackup): void {
    this.revision = backup.revision;
    this.era++;
    this.routing.restore(backup.routing, backup.revision);
    this.agents.restore(backup.agents, backup.revision);
    this.evacuations.restore(backup.evacuations, backup.revision);
  }

  /** Advances the revision as unrelated writes do, so that it can pass an earlier one. */
  advanceRevision(revisions: number): void {
    this.revision += revisions;
  }

  /** Drops the change history of all collections. */
  compactHistory(): void {
    for (const collection of [this.routing, this.agents, this.evacuations]) {
      collection.history = [];
      collection.oldestRevision = this.revision;
    }
  }

  /** Creates a process's port to the routing collection. */
  createRoutingPort(process: SimulatedProcess): CollectionPort<RoutingTable> {
    return this.createPort(this.routing, process);
  }

  /** Creates a process's port to the evacuated zones. */
  createEvacuationsPort(process: SimulatedProcess): CollectionPort<EvacuatedZone> {
    return this.createPort(this.evacuations, process);
  }

  /** Creates a process's port to the agent registry. */
  createRegistryPort(process: SimulatedProcess): AgentRegistryPort {
    return {
      ...this.createPort(this.agents, process),
      register: (agent, answer) =>
        this.call(process, answer, () => {
          const known = this.agents.items.get(String(agent.address));
          if (known?.item.service === agent.service && known.item.zone === agent.zone) {
            return new Ok(known.item);
          }
          this.applyChange(this.agents, String(agent.address), agent, false);
          return new Ok(agent);
        }),
      replace: (agent, answer) =>
        this.call(process, answer, () => {
          this.applyChange(this.agents, String(agent.address), agent, false);
          return new Ok(undefined);
        }),
      remove: (agent, entered, answer) =>
        this.call(process, answer, () => {
          const known = this.agents.items.get(String(agent.address));
          const isOther = entered?.era !== this.era || known?.revision !== entered.revision;
          if (known && entered !== undefined && isOther) {
            return createFailure(ResultCodes.storeConflict, 'the entry has another revision');
          }
          if (known) {
            this.applyChange(this.agents, known.name, known.item, true);
          }
          return new Ok(undefined);
        }),
    };
  }

  /** Creates a process's store probe; connections never stall in this model. */
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
      return createFailure(ResultCodes.storeEraChanged, 'the store was restored from a backup');
    }
    if (this.isHistoryUnavailable(collection, after)) {
      return createFailure(
        ResultCodes.storeWatchExpired,
        'the history after this revision is no longer available',
      );
    }
    const changes = collection.history.filter(({ revision }) => revision > after.revision);
    return new Ok({ changes, skipped: 0, era: this.era, revision: this.revision });
  }

  /** Whether the history after a store position is unavailable. */
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

  /** Runs a call after the store's answer time; no answer is sent if `act` returns undefined. */
  private call<T>(
    process: SimulatedProcess,
    answer: ResultCallback<T>,
    act: () => Result<T, HallholdError> | undefined,
  ): void {
    this.calls++;
    const sendResult = (result: Result<T, HallholdError>): void =>
      process.run(() => answer(result));
    if (this.refusedProcesses.has(process.name)) {
      const refusal = createFailure(ResultCodes.storeUnavailable, 'refused');
      this.clock.schedule(this.answerTime, () => sendResult(refusal));
    } else if (this.isDown) {
      const timeout = createFailure(ResultCodes.storeUnavailable, 'no answer in time');
      this.clock.schedule(CALL_TIMEOUT_MS, () => sendResult(timeout));
    } else {
      this.clock.schedule(this.answerTime, () => {
        const result = act();
        if (result) {
          sendResult(result);
        }
      });
    }
  }
}
