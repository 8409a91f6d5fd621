/** Takes what the registry and other balancers list of agents into a balancer's directory. */
import type { Environment } from '../environment';
import { Events } from '../logging/events';
import type { AgentDirectory } from './agent-directory';
import type { Changes, Listing } from './collection-port';
import type { AgentRecord } from './packet-messages';

/** What the view works with. */
export interface RegistryViewDependencies {
  readonly environment: Environment;
  readonly directory: AgentDirectory;
  /** The directory may know other agents now, or be complete. */
  changed(): void;
}

/** The registry as one balancer has taken it. */
export class RegistryView {
  constructor(private readonly dependencies: RegistryViewDependencies) {}

  /** Takes a whole listing: the directory is complete from now on. */
  takeListing(listing: Listing<AgentRecord>): void {
    const { directory, environment } = this.dependencies;
    const now = environment.now();
    const listed = new Set(listing.items.map(({ item }) => item.address));
    for (const { address, registryRevision } of [...directory.all()]) {
      if (registryRevision !== undefined && !listed.has(address)) {
        directory.unregister(address, now);
      }
    }
    listing.items.forEach(({ item, revision }) => directory.learn(item, revision, now));
    this.markComplete('store');
  }

  /** Takes changes of the registry. */
  takeChanges(changes: Changes<AgentRecord>): void {
    const { directory, environment } = this.dependencies;
    const now = environment.now();
    for (const { item, revision, removed } of changes.changes) {
      if (removed) {
        directory.unregister(item.address, now);
      } else {
        directory.learn(item, revision, now);
      }
    }
    this.dependencies.changed();
  }

  /** Takes agents that another balancer knows. */
  learnAgents(agents: readonly AgentRecord[]): void {
    const { directory, environment } = this.dependencies;
    const now = environment.now();
    agents.forEach((agent) => directory.learn(agent, undefined, now));
    this.dependencies.changed();
  }

  /** The directory holds every agent that `origin` lists. */
  markComplete(origin: string): void {
    const { directory, environment } = this.dependencies;
    if (!directory.isComplete) {
      directory.markComplete();
      environment.report(Events.viewComplete, { origin, agents: directory.size });
    }
    this.dependencies.changed();
  }
}
