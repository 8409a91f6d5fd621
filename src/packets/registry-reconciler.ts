/**
 * Reconciles the registry of agents with their reports: an agent that reports but is not
 * listed is registered on its behalf, and one that has long been unresponsive is removed.
 */
import type { Endpoint, Environment } from '../environment';
import { formatEndpoint } from '../core/endpoint';
import { Events } from '../logging/events';
import { hasTargetEnded, type AgentDirectory, type AgentEntry } from './agent-directory';
import type { AgentRegistryPort, ResultCallback } from './collection-port';

/** Limits concurrent calls, as entries that were lost together are registered together. */
const MAXIMUM_CONCURRENT_CALLS = 16;
/** Time that an agent has to register itself. */
const SELF_REGISTRATION_TIME_MS = 3_000;
/** Time without reports after which an agent's entry is removed. */
const REMOVAL_SILENCE_MS = 12_000;
/** Time after which an agent that is neither listed nor reporting is forgotten. */
const FORGET_SILENCE_MS = 30_000;
/**
 * The same for an agent without a known target: peers that receive its reports announce it every
 * half second, and an unresponsive agent must not delay resets of dead flows.
 */
const FORGET_UNKNOWN_SILENCE_MS = 3_000;

/** Reconciliation by one balancer. */
export class RegistryReconciler {
  private readonly pendingCalls = new Set<Endpoint>();
  private callsMade = 0;

  constructor(
    private readonly environment: Environment,
    private readonly directory: AgentDirectory,
    private readonly registry: AgentRegistryPort,
    /** Store era of the directory's registry revisions. */
    private readonly getEra: () => number,
  ) {}

  /** Number of calls made to the registry. */
  get calls(): number {
    return this.callsMade;
  }

  /**
   * To be called about once a second.
   * @param mayCall whether this balancer is one of those that call the store
   */
  reconcile(mayCall: boolean): void {
    const now = this.environment.now();
    for (const entry of [...this.directory.getAll()]) {
      this.reconcileEntry(entry, mayCall, now);
    }
  }

  private reconcileEntry(entry: AgentEntry, mayCall: boolean, now: number): void {
    const silence = this.directory.getSilence(entry, now);
    const isListed = entry.registryRevision !== undefined;
    if (!isListed && silence > this.getForgetSilence(entry)) {
      this.directory.remove(entry.address, 'unresponsive');
    } else if (
      !mayCall ||
      this.pendingCalls.has(entry.address) ||
      this.pendingCalls.size >= MAXIMUM_CONCURRENT_CALLS
    ) {
      return;
    } else if (isListed && silence > REMOVAL_SILENCE_MS) {
      this.remove(entry, silence, now);
    } else if (!isListed && this.needsRegistration(entry, now)) {
      this.register(entry);
    }
  }

  private getForgetSilence(entry: AgentEntry): number {
    if (entry.lapsedAt !== undefined) {
      return REMOVAL_SILENCE_MS;
    }
    return this.directory.mayHoldFlows(entry) ? FORGET_SILENCE_MS : FORGET_UNKNOWN_SILENCE_MS;
  }

  private needsRegistration(entry: AgentEntry, now: number): boolean {
    const isPresent = this.directory.isHeard(entry, now) && this.directory.mayHoldFlows(entry);
    const missingSince = entry.lapsedAt ?? entry.knownSince;
    return (
      isPresent && !hasTargetEnded(entry.report) && now - missingSince > SELF_REGISTRATION_TIME_MS
    );
  }

  private register(entry: AgentEntry): void {
    const { address, service, zone, deregistered } = entry;
    const answer = this.beginCall('registration', address);
    this.registry.register({ address, service, zone, deregistered }, answer);
  }

  /** Removes nothing when no agent reports: then this balancer itself is probably cut off. */
  private remove(entry: AgentEntry, silence: number, now: number): void {
    if (!this.directory.hasHeardAny(now)) {
      return;
    }
    const agent = formatEndpoint(entry.address);
    this.environment.report(Events.agentRemoved, { agent, silence: Math.round(silence) });
    const answer = this.beginCall('removal', entry.address);
    const revision = entry.registryRevision ?? 0;
    this.registry.remove(entry, { era: this.getEra(), revision }, answer);
  }

  /** Counts a call and returns its callback; a failed call is repeated in the next round. */
  private beginCall(call: 'registration' | 'removal', agent: Endpoint): ResultCallback<unknown> {
    this.pendingCalls.add(agent);
    this.callsMade++;
    return (result) => {
      this.pendingCalls.delete(agent);
      if (result.err) {
        const { number, name } = result.val.resultCode;
        this.environment.report(Events.registryCallFailed, {
          call,
          agent: formatEndpoint(agent),
          code: number,
          reason: `${name}: ${result.val.message}`,
        });
      }
    };
  }
}
