/**
 * Watches a collection of the store while it is started: lists it, then waits for changes.
 *
 * A pending call does not prove that the store is reachable, since the connection may be lost
 * meanwhile. Its maximum wait therefore limits the age of the last proof.
 */
import type { Environment, TimerHandle } from '../environment';
import type { HallholdError } from '../errors/hallhold-error';
import { ResultCodes, type ResultCode } from '../errors/result-codes';
import { Events } from '../logging/events';
import type { Changes, CollectionPort, Listing } from './collection-port';
import { SkippedEntries } from './skipped-entries';
import { UNKNOWN_POSITION, type StorePosition } from './store-position';

const INITIAL_RETRY_DELAY_MS = 150;
/**
 * Wait of the first call after a failure: the store answers it at once, which shows at once whether
 * its era has changed.
 */
const WAIT_AFTER_FAILURE_MS = 1;
/** A recovered store is noticed well within the 2 s for which entries may be missing. */
const MAXIMUM_RETRY_DELAY_MS = 1_000;

/** Errors of a watch after which everything is listed at once. */
const IMMEDIATE_LISTING_ERRORS: ReadonlySet<ResultCode> = new Set([
  ResultCodes.storeEraChanged,
  ResultCodes.storeAnswerTooLarge,
]);

/** Receives listings and changes of a collection. */
export interface CollectionObserver<T> {
  listed(listing: Listing<T>): void;
  changed(changes: Changes<T>): void;
  /** The store has not answered, or has returned an error. */
  failed?(): void;
}

/** Timing of a watcher's calls. */
export interface WatchPacing {
  /** Maximum milliseconds that a call waits at the store. */
  readonly waitTime: number;
  /** Milliseconds from an answer with changes to the next call, to batch further changes. */
  readonly pause: number;
  /** Milliseconds from a listing to the first watch call. */
  readonly firstPause: number;
}

/** Calls that a watcher has made, for the metrics page. */
export interface WatchCallCounts {
  listings: number;
  watches: number;
}

/** Watcher of one collection. */
export class CollectionWatcher<T> {
  readonly calls: WatchCallCounts = { listings: 0, watches: 0 };
  /** Increases with each start and stop; answers to calls of an earlier generation are ignored. */
  private generation = 0;
  private running = false;
  private failures = 0;
  /** Successive exceptions of the observer. */
  private faults = 0;
  private timer: TimerHandle | undefined;
  /** Store position of the latest answer. */
  private position = UNKNOWN_POSITION;
  private readonly skippedEntries: SkippedEntries;
  /** The latest listing followed a failed watch at once, and no watch call has succeeded since. */
  private hasListedAtOnce = false;

  constructor(
    /** Names the collection in logs. */
    private readonly name: string,
    private readonly port: CollectionPort<T>,
    private readonly environment: Environment,
    private readonly observer: CollectionObserver<T>,
    private readonly pacing: () => WatchPacing,
  ) {
    this.skippedEntries = new SkippedEntries(environment, name);
  }

  get isRunning(): boolean {
    return this.running;
  }

  /** The era of the store's latest answer; 0 before any. */
  get era(): number {
    return this.position.era;
  }

  start(): void {
    if (!this.running) {
      this.running = true;
      this.generation++;
      this.list();
    }
  }

  stop(): void {
    this.running = false;
    this.generation++;
    this.failures = 0;
    this.timer?.cancel();
  }

  private list(): void {
    const { generation } = this;
    this.calls.listings++;
    this.port.list((result) => {
      if (generation !== this.generation) {
        return;
      }
      if (result.err) {
        this.retry(result.val, () => this.list());
        return;
      }
      this.recordSuccess();
      this.recordPosition(result.val);
      const { era, items, revision, skipped } = result.val;
      const listed = { collection: this.name, era, revision, items: items.length };
      this.environment.report(Events.storeListed, listed);
      this.skippedEntries.record(skipped);
      if (this.notify(() => this.observer.listed(result.val))) {
        this.scheduleWatch(result.val, this.pacing().firstPause, generation);
      }
    });
  }

  /**
   * Calls the observer. If it throws, it may have applied its input in part: everything is listed
   * again after a delay, and the watcher goes on.
   * @returns whether the observer returned
   */
  private notify(callObserver: () => void): boolean {
    const { generation } = this;
    try {
      callObserver();
      this.faults = 0;
      return true;
    } catch (error) {
      const reason = error instanceof Error ? (error.stack ?? error.message) : String(error);
      this.environment.report(Events.processFault, { collection: this.name, reason });
      if (generation === this.generation) {
        this.faults++;
        this.timer = this.environment.startTimer(this.drawDelay(this.faults), () => this.list());
      }
      return false;
    }
  }

  /** Does nothing if the observer has stopped this watcher in its callback. */
  private scheduleWatch(after: StorePosition, pause: number, generation: number): void {
    if (generation !== this.generation) {
      return;
    }
    if (pause === 0) {
      this.watch(after);
      return;
    }
    this.timer = this.environment.startTimer(pause, () => this.watch(after));
  }

  private watch(after: StorePosition): void {
    const { generation } = this;
    this.calls.watches++;
    const waitTime = this.failures > 0 ? WAIT_AFTER_FAILURE_MS : this.pacing().waitTime;
    this.port.awaitChanges(after, waitTime, (result) => {
      if (generation !== this.generation) {
        return;
      }
      if (result.ok) {
        this.recordSuccess();
        this.hasListedAtOnce = false;
        this.recordPosition(result.val);
        this.skippedEntries.record(result.val.skipped);
        if (this.notify(() => this.observer.changed(result.val))) {
          this.scheduleWatch(
            result.val,
            result.val.changes.length > 0 ? this.pacing().pause : 0,
            generation,
          );
        }
        return;
      }
      this.handleWatchFailure(result.val, after);
    });
  }

  /**
   * After the store is restored from a backup, or where the changes are too large for one answer,
   * everything is listed at once, since a table change may already be pending; a second time in a row
   * only after a delay.
   */
  private handleWatchFailure(error: HallholdError, after: StorePosition): void {
    const { resultCode } = error;
    const mayListAtOnce = IMMEDIATE_LISTING_ERRORS.has(resultCode);
    if (mayListAtOnce && !this.hasListedAtOnce) {
      this.hasListedAtOnce = true;
      if (resultCode !== ResultCodes.storeEraChanged) {
        this.reportFailure(error);
      }
      this.list();
      return;
    }
    const mustList = mayListAtOnce || resultCode === ResultCodes.storeWatchExpired;
    this.retry(error, mustList ? () => this.list() : () => this.watch(after));
  }

  /** Records the store position, and logs a change of the era. */
  private recordPosition({ era, revision }: StorePosition): void {
    const before = this.position;
    this.position = { era, revision };
    if (before.era !== era && before !== UNKNOWN_POSITION) {
      this.environment.report(Events.storeEraChanged, {
        collection: this.name,
        before: before.era,
        after: era,
        revision: before.revision,
      });
    }
  }

  private retry(error: HallholdError, action: () => void): void {
    this.failures++;
    if (this.failures === 1) {
      this.reportFailure(error);
    }
    this.timer = this.environment.startTimer(this.drawDelay(this.failures), action);
    this.observer.failed?.();
  }

  private reportFailure({ resultCode, message }: HallholdError): void {
    const { number, name } = resultCode;
    this.environment.report(Events.storeUnavailable, {
      collection: this.name,
      code: number,
      reason: `${name}: ${message}`,
    });
  }

  /** Milliseconds to wait after a number of successive failures. */
  private drawDelay(failures: number): number {
    const ceiling = Math.min(MAXIMUM_RETRY_DELAY_MS, INITIAL_RETRY_DELAY_MS * 2 ** (failures - 1));
    return ceiling * (0.5 + this.environment.random() / 2);
  }

  private recordSuccess(): void {
    if (this.failures > 0) {
      const { failures } = this;
      this.environment.report(Events.storeRegained, { collection: this.name, failures });
    }
    this.failures = 0;
  }
}
