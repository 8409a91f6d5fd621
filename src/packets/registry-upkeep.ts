/**
 * Keeps the registry of agents true from the balancers' side: an agent that is heard but
 * not listed is registered on its behalf, and one that has long been silent is removed.
 */
import type { Environment } from '../environment';
import { formatEndpoint } from '../core/endpoint';
import { Events } from '../logging/events';
import type { AgentDirectory, AgentEntry } from './agent-directory';
import type { AgentRegistryPort } from './collection-port';
import { TargetState } from './packet-messages';

/** Milliseconds that an agent has for its own registration. */
const OWN_REGISTRATION_TIME = 3_000;
/** Milliseconds of silence after which an agent's entry is removed. */
const REMOVAL_TIME = 12_000;
/** Milliseconds after which an agent that is neither listed nor heard is forgotten. */
const FORGET_TIME = 30_000;

/** Upkeep by one balancer. */
export class RegistryUpkeep {
  private calling = false;

  constructor(
    private readonly environment: Environment,
    private readonly directory: AgentDirectory,
    private readonly registry: AgentRegistryPort,
  ) {}

  /** Makes at most one call to the registry; to be run about once a second. */
  run(): void {
    const now = this.environment.now();
    for (const entry of [...this.directory.all()]) {
      this.inspect(entry, now);
    }
  }

  private inspect(entry: AgentEntry, now: number): void {
    const silence = now - (entry.heardAt ?? entry.knownSince);
    const listed = entry.registryRevision !== undefined;
    if (!listed && silence > FORGET_TIME) {
      this.directory.forget(entry.address);
    } else if (listed && silence > REMOVAL_TIME) {
      this.remove(entry, silence, now);
    } else if (!listed && this.needsRegistration(entry, now)) {
      this.register(entry);
    }
  }

  private needsRegistration(entry: AgentEntry, now: number): boolean {
    const present = this.directory.isHeard(entry, now);
    const leaving = entry.report?.state === TargetState.gone;
    return present && !leaving && now - entry.knownSince > OWN_REGISTRATION_TIME;
  }

  private register(entry: AgentEntry): void {
    if (this.calling) {
      return;
    }
    this.calling = true;
    this.registry.register(entry, () => (this.calling = false));
  }

  /** Silence proves little when nobody is heard: then this balancer is the one cut off. */
  private remove(entry: AgentEntry, silence: number, now: number): void {
    if (this.calling || !this.directory.hearsAny(now)) {
      return;
    }
    this.calling = true;
    const agent = formatEndpoint(entry.address);
    this.environment.report(Events.agentRemoved, { agent, silence: Math.round(silence) });
    this.registry.remove(entry, entry.registryRevision, () => (this.calling = false));
  }
}
