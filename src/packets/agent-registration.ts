/**
 * Keeps an agent in the registry: registers it unless a balancer says that it is listed, and
 * again whenever a balancer misses it there.
 *
 * An agent that has heard nothing of its target stays out of it. The machine of a target that has
 * left for good may come back for a moment, with an agent and no target; an entry of such an agent
 * keeps balancers for 12 s from telling clients that their flows are dead.
 */
import type { Environment, TimerHandle } from '../environment';
import { Events } from '../logging/events';
import type { AgentRegistryPort } from './collection-port';
import type { NodeTimers } from './node-timers';
import { ListingState, type AgentRecord, type ListingStateValue } from './packet-messages';

const INITIAL_RETRY_DELAY_MS = 500;
/** Milliseconds: a store that is back gets the entry well within the 2 s that it may be missing. */
const MAXIMUM_RETRY_DELAY_MS = 1_000;
/**
 * Milliseconds that an agent waits for a balancer to say whether it is listed: balancers start
 * beside it, read the registry and knock ten times a second.
 */
const LISTING_TIMEOUT_MS = 1_000;
/** Milliseconds after a registration in which a balancer may not have heard of it. */
const PROPAGATION_TIME_MS = 3_000;

/** The registration of one agent. */
export class AgentRegistration {
  private waitTimer: TimerHandle | undefined;
  private isCalling = false;
  /** A registration is due and waits for the target to be heard. */
  private isDue = false;
  /** The entry is to go, and has not been made anew since: a listing told by balancers is old. */
  private isWithdrawn = false;
  /** A removal is under way; the store could carry it out after a registration. */
  private isRemoving = false;
  /** Whether the registry lists this agent, as far as balancers have told. */
  private isListed: boolean | undefined;
  private registeredAt = -Infinity;
  private registryCalls = 0;

  constructor(
    private readonly environment: Environment,
    private readonly registry: AgentRegistryPort,
    private readonly timers: NodeTimers,
    /** What to register; read anew for each try. */
    private readonly record: () => AgentRecord,
    /** Whether the target has said or sent anything in this run of the agent. */
    private readonly isTargetHeard: () => boolean,
  ) {}

  /** Calls made to the registry. */
  get callCount(): number {
    return this.registryCalls;
  }

  /** @param isKnown whether balancers hear of this agent before it is registered */
  start(isKnown: boolean): void {
    if (!isKnown) {
      this.registerIfReady();
      return;
    }
    this.waitTimer = this.environment.startTimer(LISTING_TIMEOUT_MS, () => this.registerIfReady());
  }

  /** The target has been heard: a registration that waits for it is made now. */
  handleTargetHeard(): void {
    if (this.isDue) {
      this.registerIfReady();
    }
  }

  /** There is no target: the entry, if there is one, goes; a target that is heard brings it back. */
  withdraw(): void {
    this.waitTimer?.cancel();
    this.isDue = true;
    this.isWithdrawn = true;
    if (this.isListed !== false) {
      this.remove(INITIAL_RETRY_DELAY_MS);
    }
  }

  /** Ends the timer. */
  stop(): void {
    this.waitTimer?.cancel();
  }

  /** A balancer says whether the registry lists this agent. */
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
    this.isDue = this.isRemoving || !this.isTargetHeard();
    if (!this.isDue) {
      this.register(INITIAL_RETRY_DELAY_MS);
    }
  }

  private register(delay: number): void {
    this.waitTimer?.cancel();
    this.isCalling = true;
    this.isWithdrawn = false;
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
    if (this.isTargetHeard()) {
      return;
    }
    this.registryCalls++;
    this.isRemoving = true;
    this.registry.remove(this.record(), undefined, (result) => {
      this.isRemoving = false;
      if (this.isTargetHeard()) {
        this.registerIfReady();
      } else if (result.err) {
        const next = Math.min(delay * 2, MAXIMUM_RETRY_DELAY_MS);
        const wait = delay * (0.5 + this.environment.random());
        this.timers.scheduleOnce(wait, () => this.remove(next));
      }
    });
  }
}
