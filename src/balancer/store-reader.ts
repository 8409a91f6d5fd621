/**
 * Decides whether this balancer watches the store, and watches it if so.
 *
 * The store supports only a few readers: the MAXIMUM_STORE_READERS active members that rank
 * highest by rendezvous hashing. Where the views of the membership differ, there are
 * more readers for a while, without other effect.
 */
import { rankByRendezvous } from '../core/hashing';
import type { TableDelta } from '../core/table-cache';
import { MAXIMUM_STORE_READERS } from '../core/timing';
import { Events } from '../logging/events';
import type { MachineRecord, StorePort, WatchHandle } from '../table-store/store-port';
import type { HallholdError } from '../errors/hallhold-error';
import type { BalancerContext } from './balancer-context';

const RANK_INTERVAL_MS = 2_000;
const RETRY_INTERVAL_MS = 1_000;
const RENDEZVOUS_KEY = 'store-reader';

/** Dependencies of the store reader. */
export interface StoreReaderDependencies {
  /** Names of the other active balancers. */
  listActiveNames(): string[];
  /** Revision through which this balancer has all tables. */
  getCompleteRevision(): number;
  applyDelta(delta: TableDelta): void;
  handleMachineList(machines: readonly MachineRecord[]): void;
}

/** Watches the store while this balancer is among the readers. */
export class StoreReader {
  private reading = false;
  private running = false;
  private watch: WatchHandle | undefined;

  constructor(
    private readonly context: BalancerContext,
    private readonly store: StorePort,
    private readonly dependencies: StoreReaderDependencies,
  ) {}

  /** True while this balancer is one of the store's readers. */
  get isReading(): boolean {
    return this.reading;
  }

  start(): void {
    this.running = true;
    this.updateRole();
  }

  stop(): void {
    this.running = false;
    this.stopReading();
  }

  private updateRole(): void {
    if (!this.running) {
      return;
    }
    const shouldRead = this.isAmongReaders();
    if (shouldRead && !this.reading) {
      this.startReading();
    } else if (!shouldRead && this.reading) {
      this.stopReading();
    }
    if (this.reading) {
      this.pollMachines();
    }
    this.context.environment.startTimer(RANK_INTERVAL_MS, () => this.updateRole());
  }

  private isAmongReaders(): boolean {
    const ownName = this.context.settings.name;
    const ranked = rankByRendezvous(RENDEZVOUS_KEY, [
      ...this.dependencies.listActiveNames(),
      ownName,
    ]);
    return ranked.indexOf(ownName) < MAXIMUM_STORE_READERS;
  }

  private startReading(): void {
    this.reading = true;
    this.context.environment.report(Events.storeReaderStarted, {});
    this.listTables();
  }

  private stopReading(): void {
    if (this.reading) {
      this.context.environment.report(Events.storeReaderStopped, {});
    }
    this.reading = false;
    this.watch?.close();
    this.watch = undefined;
  }

  private listTables(): void {
    this.store.list((result) => {
      if (!this.reading) {
        return;
      }
      if (result.err) {
        this.scheduleRetry(result.val);
        return;
      }
      this.dependencies.applyDelta(result.val);
      this.openWatch(result.val.throughRevision);
    });
  }

  private openWatch(fromRevision: number): void {
    this.watch?.close();
    this.watch = this.store.watch(
      fromRevision,
      (delta) => this.dependencies.applyDelta(delta),
      (error) => this.handleWatchEnd(error),
    );
  }

  private handleWatchEnd(error: HallholdError): void {
    this.watch = undefined;
    if (this.reading) {
      this.scheduleRetry(error);
    }
  }

  private scheduleRetry(error: HallholdError): void {
    this.context.environment.report(Events.storeUnavailable, { reason: error.message });
    this.context.environment.startTimer(RETRY_INTERVAL_MS, () => {
      if (this.reading && !this.watch) {
        this.listTables();
      }
    });
  }

  private pollMachines(): void {
    this.store.listMachines((result) => {
      if (result.ok) {
        this.dependencies.handleMachineList(result.val);
      }
    });
  }
}
