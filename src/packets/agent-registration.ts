/**
 * Keeps an agent in the registry: registers it unless a balancer reports that it is listed, and
 * again whenever a balancer reports that it is missing.
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

const INITIAL_RETRY_DELAY_MS = 500;
/** A recovered store gets the entry well within the 2 s for which it may be missing. */
const MAXIMUM_RETRY_DELAY_MS = 1_000;
/**
 * Time for which an agent waits for a balancer to report whether it is listed: balancers that start
 * at the same time read the registry and contact agents ten times a second.
 */
const LISTING_TIMEOUT_MS = 1_000;
/** Time after a registration in which balancers may not know of it yet. */
const PROPAGATION_TIME_MS = 3_000;

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
  private registeredAt = -Infinity;
  private registryCalls = 0;

  constructor(
    private readonly environment: Environment,
    private readonly registry: AgentRegistryPort,
    private readonly timers: NodeTimers,
    /** Record to register; read again for each attempt. */
    private readonly record: () => AgentRecord,
    /** Whether the target has sent anything in this incarnation of the agent, and has not ended. */
    private readonly isTargetPresent: () => boolean,
  ) {}

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

  /** Applies a balancer's report on whether the registry lists this agent. */
  applyListingState(listing: ListingStateValue): void {
    switch (listing) {
      case ListingState.listed:
        this.handleListed();
        return;
      case ListingState.missing:
        this.isListed = false;
        this.registerAgain();
        return;
      case ListingState.unknown:
    }
  }

  private handleListed(): void {
    if (this.isWithdrawn) {
      return;
    }
    this.waitTimer?.cancel();
    this.isListed = true;
    this.isDue = false;
  }

  private registerAgain(): void {
    const age = this.environment.now() - this.registeredAt;
    if (!this.isCalling && age > PROPAGATION_TIME_MS) {
      this.registerIfReady();
    }
  }

  private registerIfReady(): void {
    this.isDue = this.isRemoving || !this.isTargetPresent();
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
    const record = this.record();
    this.registry.register(record, (result) => {
      if (result.ok) {
        this.isCalling = false;
        this.registeredAt = this.environment.now();
        this.environment.report(Events.agentRegistered, { service: record.service });
        return;
      }
      const next = Math.min(delay * 2, MAXIMUM_RETRY_DELAY_MS);
      const wait = delay * (0.5 + this.environment.random());
      this.timers.scheduleOnce(wait, () => this.register(next));
    });
  }

  private remove(delay: number): void {
    if (this.isTargetPresent()) {
      return;
    }
    this.isRemoving = true;
    this.callRemove((result) => {
      this.isRemoving = false;
      if (this.isTargetPresent()) {
        this.registerIfReady();
      } else if (result.err) {
        const next = Math.min(delay * 2, MAXIMUM_RETRY_DELAY_MS);
        const wait = delay * (0.5 + this.environment.random());
        this.timers.scheduleOnce(wait, () => this.remove(next));
      }
    });
  }
  private callRemove(answer: ResultCallback<void>): void {
    const record = this.record();
    this.registryCalls++;
    this.environment.report(Events.agentUnregistered, { service: record.service });
    this.registry.remove(record, undefined, (result) => {
      this.isRemoved = result.ok;
      answer(result);
    });
  }
}
