/**
 * Keeps an agent in the registry: registers it unless a balancer reports that it is listed, and
 * again whenever a balancer reports that it is missing. The entry also names a deregistered target,
 * so that this is known after every process has been restarted.
 *
 * An agent whose target has sent nothing, or has ended, is not registered. The machine of a target that was removed
 * may briefly come up again with an agent and no target; a registry entry of that agent would keep
 * balancers for 12 s from resetting flows that no target holds.
 */
import type { Environment, TimerHandle } from '../environment';
import { Events } from '../logging/events';
import type { AgentRegistryPort, ResultCallback } from './collection-port';
import type { NodeTimers } from './node-timers';
import { ListingState, type AgentRecord, type ListingStateValue } from './packet-messages';
import { isSameDeregistration, type TargetIncarnation } from './target-incarnation';

const INITIAL_RETRY_DELAY_MS = 500;
/** A recovered store gets the entry well within the 2 s for which it may be missing. */
const MAXIMUM_RETRY_DELAY_MS = 1_000;
/**
 * Time for which an agent waits for a balancer to report whether it is listed: balancers that start
 * at the same time read the registry and contact agents ten times a second.
 */
const LISTING_TIMEOUT_MS = 1_000;
/** Time after a write in which balancers may not know of it yet. */
const PROPAGATION_TIME_MS = 3_000;

/** Dependencies of {@link AgentRegistration}. */
export interface AgentRegistrationDependencies {
  readonly environment: Environment;
  readonly registry: AgentRegistryPort;
  readonly timers: NodeTimers;
  /** Returns the record to register; read again for each attempt. */
  getRecord(): AgentRecord;
  /** Whether the target has sent anything in this incarnation of the agent, and has not ended. */
  isTargetPresent(): boolean;
  /** Called with a deregistered target that the stored entry names. */
  onDeregistrationFound(deregistered: TargetIncarnation): void;
  /** Called when the stored entry names the same deregistered target as the record, or none. */
  onDeregistrationStored(): void;
}

/** A balancer's report on the registry's entry of an agent. */
export interface AgentListing {
  readonly listing: ListingStateValue;
  readonly deregistered: TargetIncarnation | undefined;
  /** Whether the balancer would report a deregistered target; earlier versions do not. */
  readonly reportsDeregistration: boolean;
}

/** The registration of one agent. */
export class AgentRegistration {
  private waitTimer: TimerHandle | undefined;
  private isCalling = false;
  /** A registration is due as soon as the target sends something. */
  private isDue = false;
  /** The entry was withdrawn and not registered again: balancers' listings are outdated. */
  private isWithdrawn = false;
  /** A removal is in flight; the store could apply it after a registration. */
  private isRemoving = false;
  /** The store has confirmed a removal, and no registration has been attempted since. */
  private isRemoved = false;
  /** Whether the registry lists this agent, by balancers' reports; undefined if unknown. */
  private isListed: boolean | undefined;
  /** Deregistered target that the entry names, as far as known. */
  private storedDeregistration: TargetIncarnation | undefined;
  private registeredAt = -Infinity;
  /** Time of the latest registration or replacement. */
  private writtenAt = -Infinity;
  private registryCalls = 0;
  private readonly environment: Environment;
  private readonly registry: AgentRegistryPort;
  private readonly timers: NodeTimers;

  constructor(private readonly dependencies: AgentRegistrationDependencies) {
    this.environment = dependencies.environment;
    this.registry = dependencies.registry;
    this.timers = dependencies.timers;
  }

  /** Number of calls made to the registry. */
  get callCount(): number {
    return this.registryCalls;
  }

  /** @param isKnown whether balancers know of this agent before it is registered */
  start(isKnown: boolean): void {
    if (!isKnown) {
      this.registerIfReady();
      return;
    }
    this.waitTimer = this.environment.startTimer(LISTING_TIMEOUT_MS, () => this.registerIfReady());
  }

  /** Makes the registration that waits for the target to send something. */
  handleTargetHeard(): void {
    if (this.isDue) {
      this.registerIfReady();
    }
  }

  /** Removes the entry of an agent without a target, until a target sends something. */
  withdraw(): void {
    this.waitTimer?.cancel();
    this.isDue = true;
    this.isWithdrawn = true;
    if (this.isListed !== false) {
      this.remove(INITIAL_RETRY_DELAY_MS);
    }
  }

  /**
   * Removes the entry of an agent without a target, unless that is done already.
   * @param done called when the store has answered
   */
  removeBeforeStop(done: () => void): void {
    if (this.isRemoved) {
      done();
      return;
    }
    this.callRemove(done);
  }

  /** Cancels the timer. */
  stop(): void {
    this.waitTimer?.cancel();
  }

  /** Writes the entry again if it names another deregistered target than the record does. */
  updateDeregistration(): void {
    if (this.isEntryCurrent) {
      this.dependencies.onDeregistrationStored();
    } else if (this.isEntryKnown && !this.isCalling && this.dependencies.isTargetPresent()) {
      this.replace(INITIAL_RETRY_DELAY_MS);
    }
  }

  /** Applies a balancer's report on the registry's entry of this agent. */
  applyListing(report: AgentListing): void {
    this.applyDeregistration(report.deregistered);
    switch (report.listing) {
      case ListingState.listed:
        this.handleListed(report);
        return;
      case ListingState.missing:
        this.isListed = false;
        this.registerAgain();
        return;
      case ListingState.unknown:
    }
  }

  private handleListed({ deregistered, reportsDeregistration }: AgentListing): void {
    if (this.isWithdrawn) {
      return;
    }
    this.waitTimer?.cancel();
    this.isListed = true;
    this.isDue = false;
    if (reportsDeregistration && !this.isCalling && !this.isRecent(this.writtenAt)) {
      this.storedDeregistration = deregistered;
      this.updateDeregistration();
    }
  }

  private applyDeregistration(deregistered: TargetIncarnation | undefined): void {
    if (deregistered !== undefined) {
      this.dependencies.onDeregistrationFound(deregistered);
    }
  }

  /** Whether balancers may not know of a write yet. */
  private isRecent(writtenAt: number): boolean {
    return this.environment.now() - writtenAt <= PROPAGATION_TIME_MS;
  }

  /** Whether the registry has an entry, by balancers' reports or an own registration. */
  private get isEntryKnown(): boolean {
    return !this.isWithdrawn && (this.isListed === true || this.writtenAt > -Infinity);
  }

  private get isEntryCurrent(): boolean {
    const { deregistered } = this.dependencies.getRecord();
    return this.isEntryKnown && isSameDeregistration(this.storedDeregistration, deregistered);
  }

  /** Registers an agent whose entry is missing or was probably removed. */
  registerAgain(): void {
    if (!this.isCalling && !this.isRecent(this.registeredAt)) {
      this.registerIfReady();
    }
  }

  private registerIfReady(): void {
    this.isDue = this.isRemoving || !this.dependencies.isTargetPresent();
    if (!this.isDue) {
      this.register(INITIAL_RETRY_DELAY_MS);
    }
  }

  private register(delay: number): void {
    this.waitTimer?.cancel();
    this.isCalling = true;
    this.isWithdrawn = false;
    this.isRemoved = false;
    this.registryCalls++;
    const record = this.dependencies.getRecord();
    this.registry.register(record, (result) => {
      if (result.ok) {
        this.registeredAt = this.environment.now();
        this.handleStored(result.val);
        return;
      }
      this.retry(delay, (next) => this.register(next));
    });
  }

  private replace(delay: number): void {
    if (!this.dependencies.isTargetPresent()) {
      this.isCalling = false;
      return;
    }
    this.isCalling = true;
    this.registryCalls++;
    const record = this.dependencies.getRecord();
    this.registry.replace(record, (result) => {
      if (result.ok) {
        this.handleStored(record);
        return;
      }
      this.retry(delay, (next) => this.replace(next));
    });
  }

  private handleStored({ service, deregistered }: AgentRecord): void {
    this.isCalling = false;
    this.writtenAt = this.environment.now();
    this.environment.report(Events.agentRegistered, {
      service,
      deregistered: deregistered?.incarnation,
    });
    this.storedDeregistration = deregistered;
    this.applyDeregistration(deregistered);
    this.updateDeregistration();
  }

  /** Calls again after a random delay around the given one, with the next delay. */
  private retry(delay: number, call: (next: number) => void): void {
    const next = Math.min(delay * 2, MAXIMUM_RETRY_DELAY_MS);
    const wait = delay * (0.5 + this.environment.random());
    this.timers.scheduleOnce(wait, () => call(next));
  }

  private remove(delay: number): void {
    if (this.dependencies.isTargetPresent()) {
      return;
    }
    this.isRemoving = true;
    this.callRemove((result) => {
      this.isRemoving = false;
      if (this.dependencies.isTargetPresent()) {
        this.registerIfReady();
      } else if (result.err) {
        this.retry(delay, (next) => this.remove(next));
      }
    });
  }
  private callRemove(answer: ResultCallback<void>): void {
    const record = this.dependencies.getRecord();
    this.registryCalls++;
    this.environment.report(Events.agentUnregistered, { service: record.service });
    this.registry.remove(record, undefined, (result) => {
      this.isRemoved = result.ok;
      answer(result);
    });
  }
}
