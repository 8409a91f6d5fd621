/** Follows a collection of the store: lists it, then takes changes, for as long as it runs. */
import type { Environment, TimerHandle } from '../environment';
import type { HallholdError } from '../errors/hallhold-error';
import { ResultCodes } from '../errors/result-codes';
import { Events } from '../logging/events';
import type { Changes, CollectionPort, Listing } from './collection-port';

const FIRST_RETRY_DELAY = 150;
const LONGEST_RETRY_DELAY = 2_000;

/** Takes what a follower learns. */
export interface CollectionObserver<T> {
  listed(listing: Listing<T>): void;
  changed(changes: Changes<T>): void;
}

/** Follower of one collection. */
export class CollectionFollower<T> {
  private running = true;
  private failures = 0;
  private retryTimer: TimerHandle | undefined;

  constructor(
    /** Names the collection in logs. */
    private readonly name: string,
    private readonly port: CollectionPort<T>,
    private readonly environment: Environment,
    private readonly observer: CollectionObserver<T>,
  ) {}

  start(): void {
    this.list();
  }

  stop(): void {
    this.running = false;
    this.retryTimer?.cancel();
  }

  private list(): void {
    this.port.list((result) => {
      if (!this.running) {
        return;
      }
      if (result.err) {
        this.retry(result.val, () => this.list());
        return;
      }
      this.succeeded();
      this.observer.listed(result.val);
      this.watch(result.val.revision);
    });
  }

  private watch(afterRevision: number): void {
    this.port.awaitChanges(afterRevision, (result) => {
      if (!this.running) {
        return;
      }
      if (result.ok) {
        this.succeeded();
        this.observer.changed(result.val);
        this.watch(result.val.revision);
        return;
      }
      const expired = result.val.resultCode === ResultCodes.storeWatchExpired;
      this.retry(result.val, expired ? () => this.list() : () => this.watch(afterRevision));
    });
  }

  private retry(error: HallholdError, action: () => void): void {
    this.failures++;
    if (this.failures === 1) {
      const { number, name } = error.resultCode;
      this.environment.report(Events.storeUnavailable, {
        collection: this.name,
        code: number,
        reason: `${name}: ${error.message}`,
      });
    }
    const ceiling = Math.min(LONGEST_RETRY_DELAY, FIRST_RETRY_DELAY * 2 ** (this.failures - 1));
    const delay = ceiling * (0.5 + this.environment.random() / 2);
    this.retryTimer = this.environment.startTimer(delay, action);
  }

  private succeeded(): void {
    if (this.failures > 0) {
      const { failures } = this;
      this.environment.report(Events.storeRegained, { collection: this.name, failures });
    }
    this.failures = 0;
  }
}
