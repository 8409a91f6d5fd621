/** Simulated platform store with outages, slow calls and lost answers. */
import { Err, Ok } from 'ts-results';
import type { TableDelta } from '../core/table-cache';
import { HallholdError } from '../errors/hallhold-error';
import { ResultCodes } from '../errors/result-codes';
import type {
  ResultCallback,
  MachineRecord,
  StoredTable,
  StorePort,
  TableWrite,
  WatchHandle,
} from '../table-store/store-port';
import {
  tableResource,
  createTableResource,
  convertToStoredTable,
  convertToTable,
} from '../table-store/store-resources';
import { ObjectStore, type StoredObject, type StoreEvent } from '../standins/object-store';
import type { SeededRandom } from './seeded-random';
import type { SimulatedProcess } from './simulated-process';
import type { VirtualClock } from './virtual-clock';

const CALL_TIMEOUT_MS = 2_000;
const NORMAL_DELAY_MS = 5;
/** A write whose answer is lost takes effect up to this much later. */
const MAXIMUM_LATE_WRITE_DELAY_MS = 1_500;

/** Active faults of the store. */
export interface StoreFaults {
  down: boolean;
  /** Milliseconds added to every call. */
  slowness: number;
  /** Fraction of writes that take effect but whose answer is lost, 0 to 1. */
  lostAnswers: number;
}

/** The store with its machine list. */
export class SimulatedStore {
  readonly objects = new ObjectStore();
  readonly faults: StoreFaults = { down: false, slowness: 0, lostAnswers: 0 };
  /** Closes an open watch, by name of the watching process. */
  readonly watchers = new Map<string, () => void>();
  private readonly machines = new Map<string, MachineRecord>();

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: SeededRandom,
    private readonly machineLag: number,
  ) {}

  /** Creates the store port of one process. */
  createPort(process: SimulatedProcess): StorePort {
    return {
      list: (answer) => this.call(process, answer, () => this.list()),
      read: (service, answer) => this.call(process, answer, () => this.read(service)),
      listMachines: (answer) => this.call(process, answer, () => [...this.machines.values()]),
      write: (write, expected, answer) => this.write(process, write, expected, answer),
      watch: (from, changed, ended) => this.watch(process, from, changed, ended),
    };
  }

  /** Stops the store, which closes every watch, or starts it again. */
  setDown(down: boolean): void {
    this.faults.down = down;
    if (down) {
      [...this.watchers.values()].forEach((breakWatch) => breakWatch());
    }
  }

  /** Sets a machine's entry; it appears in the list after the list's lag. */
  setMachine(machine: MachineRecord): void {
    this.clock.schedule(this.machineLag, () => this.machines.set(machine.address, machine));
  }

  /** Returns a service's table as stored. */
  read(service: string): StoredTable | undefined {
    const object = this.objects.get(service);
    return object && convertToStoredTable(tableResource.parse(object));
  }

  private list(): TableDelta {
    const tables = this.objects.list().map((object) => convertToTable(tableResource.parse(object)));
    return { fromRevision: 0, throughRevision: this.objects.revision, tables };
  }

  private drawDelay(): number {
    return (NORMAL_DELAY_MS + this.faults.slowness) * (0.5 + this.random.next());
  }

  /** Runs a read and answers; the call times out when the store is down or too slow. */
  private call<T>(process: SimulatedProcess, answer: ResultCallback<T>, read: () => T): void {
    const delay = this.drawDelay();
    if (this.faults.down || delay > CALL_TIMEOUT_MS) {
      this.timeOut(process, answer);
      return;
    }
    this.clock.schedule(delay, () => {
      const value = read();
      process.run(() => answer(new Ok(value)));
    });
  }

  private timeOut<T>(process: SimulatedProcess, answer: ResultCallback<T>): void {
    process.startTimer(CALL_TIMEOUT_MS, () => {
      answer(new Err(new HallholdError(ResultCodes.storeUnavailable, 'no answer in time')));
    });
  }

  private write(
    process: SimulatedProcess,
    write: TableWrite,
    expected: number,
    answer: ResultCallback<number>,
  ): void {
    const isAnswerLost = this.random.next() < this.faults.lostAnswers;
    if (this.faults.down) {
      this.timeOut(process, answer);
      return;
    }
    const delay =
      this.drawDelay() + (isAnswerLost ? this.random.next() * MAXIMUM_LATE_WRITE_DELAY_MS : 0);
    if (isAnswerLost || delay > CALL_TIMEOUT_MS) {
      this.timeOut(process, answer);
      this.clock.schedule(delay, () => this.apply(write, expected));
      return;
    }
    this.clock.schedule(delay, () => {
      const revision = this.apply(write, expected);
      process.run(() =>
        answer(
          revision === undefined
            ? new Err(new HallholdError(ResultCodes.storeConflict, 'the object has changed'))
            : new Ok(revision),
        ),
      );
    });
  }

  /** Reads and compares-and-sets in one step; the HTTP client needs two calls for this. */
  private apply(write: TableWrite, expected: number): number | undefined {
    const current = this.read(write.service);
    if ((current?.table.revision ?? 0) !== expected) {
      return undefined;
    }
    const earlier = current?.recentWriteIds ?? [];
    const draft = createTableResource(write, expected, earlier) as StoredObject;
    const result =
      expected === 0
        ? this.objects.create(write.service, draft)
        : this.objects.replace(write.service, String(expected), draft);
    return result.outcome === 'written'
      ? Number(result.object.metadata.resourceVersion)
      : undefined;
  }

  private watch(
    process: SimulatedProcess,
    fromRevision: number,
    changed: (delta: TableDelta) => void,
    ended: (error: HallholdError) => void,
  ): WatchHandle {
    const missed = this.faults.down ? undefined : this.objects.listChangesSince(fromRevision);
    if (!missed) {
      const error = new HallholdError(ResultCodes.storeWatchExpired, 'the watch cannot start');
      process.startTimer(NORMAL_DELAY_MS, () => ended(error));
      return { close: () => undefined };
    }
    return this.startStream(process, missed, fromRevision, changed, ended);
  }

  private startStream(
    process: SimulatedProcess,
    missed: readonly StoreEvent[],
    fromRevision: number,
    changed: (delta: TableDelta) => void,
    ended: (error: HallholdError) => void,
  ): WatchHandle {
    let lastRevision = fromRevision;
    let isOpen = true;
    const close = (): void => {
      isOpen = false;
      unsubscribe();
      this.watchers.delete(process.name);
    };
    const breakWatch = (): void => {
      close();
      process.run(() =>
        ended(new HallholdError(ResultCodes.storeUnavailable, 'watch connection closed')),
      );
    };
    const forwardEvent = (event: StoreEvent): void => {
      if (process.isDead) {
        close();
        return;
      }
      const delta = {
        fromRevision: lastRevision,
        throughRevision: event.revision,
        tables: [convertToTable(tableResource.parse(event.object))],
      };
      lastRevision = event.revision;
      // The same delay for all events keeps the stream in order.
      this.clock.schedule(NORMAL_DELAY_MS + this.faults.slowness, () => {
        process.run(() => isOpen && changed(delta));
      });
    };
    const unsubscribe = this.objects.subscribe(forwardEvent);
    this.watchers.set(process.name, breakWatch);
    missed.forEach(forwardEvent);
    return { close };
  }
}
