/**
 * Keeps the registry of agents true from the balancers' side: an agent that is heard but
 * not listed is registered on its behalf, and one that has long been silent is removed.
 */
import type { Endpoint, Environment } from '../environment';
import { formatEndpoint } from '../core/endpoint';
import { Events } from '../logging/events';
import type { AgentDirectory, AgentEntry } from './agent-directory';
import type { AgentRegistryPort, ResultCallback } from './collection-port';
import { TargetState } from './packet-messages';

/** Calls under way at once: entries that lapsed together come back together. */
const MAXIMUM_CALLS = 16;
/** Milliseconds that an agent has for its own registration. */
const OWN_REGISTRATION_TIME = 3_000;
/** Milliseconds of silence after which an agent's entry is removed. */
const REMOVAL_TIME = 12_000;
/** Milliseconds after which an agent that is neither listed nor heard is forgotten. */
const FORGET_TIME = 30_000;
/**
 * The same for an agent whose target nobody is known to have heard: peers name it again every half
 * second while they hear it, and its silence must not keep dead flows from being told so.
 */
const FORGET_UNKNOWN_TIME = 3_000;

/** Upkeep by one balancer. */
export class RegistryUpkeep {
  private readonly calling = new Set<Endpoint>();
  private callsMade = 0;

  constructor(
    private readonly environment: Environment,
    private readonly directory: AgentDirectory,
    private readonly registry: AgentRegistryPort,
    /** The era of the store as of which the directory lists agents. */
    private readonly era: () => number,
  ) {}

  /** Calls made to the registry. */
  get calls(): number {
    return this.callsMade;
  }

  /**
   * To be run about once a second.
   * @param mayCall whether this balancer is one of those that call the store
   */
  run(mayCall: boolean): void {
    const now = this.environment.now();
    for (const entry of [...this.directory.all()]) {
      this.inspect(entry, mayCall, now);
    }
  }

  private inspect(entry: AgentEntry, mayCall: boolean, now: number): void {
    const silence = this.directory.silenceOf(entry, now);
    const listed = entry.registryRevision !== undefined;
    if (!listed && silence > this.forgetTime(entry)) {
      this.directory.forget(entry.address);
    } else if (!mayCall || this.calling.has(entry.address) || this.calling.size >= MAXIMUM_CALLS) {
      return;
    } else if (listed && silence > REMOVAL_TIME) {
      this.remove(entry, silence, now);
    } else if (!listed && this.needsRegistration(entry, now)) {
      this.register(entry);
    }
  }

  private forgetTime(entry: AgentEntry): number {
    if (entry.lapsedAt !== undefined) {
      return REMOVAL_TIME;
    }
    return this.directory.mayHoldFlows(entry) ? FORGET_TIME : FORGET_UNKNOWN_TIME;
  }

  private needsRegistration(entry: AgentEntry, now: number): boolean {
    const present = this.directory.isHeard(entry, now) && this.directory.mayHoldFlows(entry);
    const leaving = entry.report?.state === TargetState.gone;
    const missingSince = entry.lapsedAt ?? entry.knownSince;
    return present && !leaving && now - missingSince > OWN_REGISTRATION_TIME;
  }

  private register(entry: AgentEntry): void {
    this.registry.register(entry, this.beginCall('registration', entry.address));
  }

  /** Silence proves little when nobody is heard: then this balancer is the one cut off. */
  private remove(entry: AgentEntry, silence: number, now: number): void {
    if (!this.directory.hearsAny(now)) {
      return;
    }
    const agent = formatEndpoint(entry.address);
    this.environment.report(Events.agentRemoved, { agent, silence: Math.round(silence) });
    const answer = this.beginCall('removal', entry.address);
    const revision = entry.registryRevision ?? 0;
    this.registry.remove(entry, { era: this.era(), revision }, answer);
  }

  /** Counts a call; what it returns takes the answer, and the next round tries again. */
  private beginCall(call: 'registration' | 'removal', agent: Endpoint): ResultCallback<void> {
    this.calling.add(agent);
    this.callsMade++;
    return (result) => {
      this.calling.delete(agent);
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
