/** Takes what the registry and other balancers list of agents into a balancer's directory. */
import type { Environment } from '../environment';
import { Events } from '../logging/events';
import type { AgentDirectory } from './agent-directory';
import type { Change, Changes, Listing } from './collection-port';
import type { AgentRecord, ListedAgent, RegistryChange, RegistryDelta } from './packet-messages';
import { isLater, placeInEra, UNKNOWN_POSITION, type StorePosition } from './store-position';

/** What the view works with. */
export interface RegistryViewDependencies {
  readonly environment: Environment;
  readonly directory: AgentDirectory;
  /** The directory may know other agents now, or be complete. */
  changed(): void;
}

/** The registry as one balancer has taken it. */
export class RegistryView {
  private held = UNKNOWN_POSITION;

  constructor(private readonly dependencies: RegistryViewDependencies) {}

  /**
   * The store's revision through which the registry's changes are known; 0 before any listing.
   * Two balancers of the same revision know the same entries.
   */
  get revision(): number {
    return this.held.revision;
  }

  /** The moment of the store through which the registry's changes are known. */
  get position(): StorePosition {
    return this.held;
  }

  /** Takes a whole listing of the store: the directory is complete from now on. */
  takeListing(listing: Listing<AgentRecord>): void {
    const agents = listing.items.map(({ item, revision }) => ({ ...item, revision }));
    const { era, revision } = listing;
    const differs = this.takeEntries(agents, listing);
    const isFirstOfEra = era > this.held.era || this.held.revision === 0;
    if ((differs || isFirstOfEra) && isLater(listing, this.held)) {
      this.held = { era, revision };
    }
    this.markComplete('store');
  }

  /**
   * Takes changes of the registry that the store told.
   * @returns what other balancers lack after it; undefined when nothing is new
   */
  takeChanges({ changes, era, revision }: Changes<AgentRecord>): RegistryDelta | undefined {
    const from = this.held.revision;
    if (changes.length === 0 || era !== this.held.era || revision <= from) {
      return undefined;
    }
    const delta: RegistryDelta = { from, to: revision, changes: changes.map(packChange) };
    this.applyChanges(delta.changes, delta.to);
    return delta;
  }

  /**
   * Takes changes that another balancer has read, if they follow what is known here.
   * @param era the era of their revisions; 0 when it is not told
   */
  takeDelta({ from, to, changes }: RegistryDelta, era: number): void {
    const { isComplete } = this.dependencies.directory;
    const told = placeInEra({ era, revision: to }, this.held);
    if (isComplete && told.era === this.held.era && from <= this.revision && this.revision < to) {
      this.applyChanges(changes, to);
    }
  }

  /** Takes the registry as a balancer whose directory is complete knows it. */
  takeSnapshot(agents: readonly ListedAgent[], told: StorePosition, origin: string): void {
    const position = placeInEra(told, this.held);
    if (isLater(position, this.held)) {
      this.takeEntries(
        agents.filter(({ revision: listed }) => listed > 0),
        position,
      );
      this.held = position;
    }
    this.learnAgents(agents);
    this.markComplete(origin);
  }

  /** Takes agents that another balancer knows. */
  learnAgents(agents: readonly AgentRecord[]): void {
    const { directory, environment } = this.dependencies;
    const now = environment.now();
    agents.forEach((agent) => directory.learn(agent, undefined, now));
    this.dependencies.changed();
  }

  /**
   * Makes the directory list these agents and no others; true when it did not before. What a later
   * era does not list was not removed by anyone: the store's copy was older.
   */
  private takeEntries(agents: readonly ListedAgent[], asOf: StorePosition): boolean {
    if (isLater(this.held, asOf)) {
      return false;
    }
    const hasReturned = this.held.revision > 0 && asOf.era > this.held.era;
    const { directory, environment } = this.dependencies;
    const now = environment.now();
    const listed = new Set(agents.map(({ address }) => address));
    let differs = false;
    for (const { address, registryRevision } of [...directory.all()]) {
      if (registryRevision !== undefined && !listed.has(address)) {
        if (hasReturned) {
          directory.noteLapse(address, now);
        } else {
          directory.unregister(address, now);
        }
        differs = true;
      }
    }
    for (const { revision, ...agent } of agents) {
      differs ||= directory.find(agent.address)?.registryRevision !== revision;
      directory.learn(agent, revision, now);
    }
    return differs;
  }

  private applyChanges(changes: readonly RegistryChange[], revision: number): void {
    const { directory, environment } = this.dependencies;
    const now = environment.now();
    for (const { agent, removed } of changes) {
      const { revision: changedAt, ...record } = agent;
      const known = directory.find(record.address)?.registryRevision ?? 0;
      if (changedAt < known) {
        continue;
      }
      if (removed) {
        directory.unregister(record.address, now);
      } else {
        directory.learn(record, changedAt, now);
      }
    }
    this.held = { era: this.held.era, revision };
    this.dependencies.changed();
  }

  private markComplete(origin: string): void {
    const { directory, environment } = this.dependencies;
    if (!directory.isComplete) {
      directory.markComplete(environment.now());
      environment.report(Events.viewComplete, { origin, agents: directory.size });
    }
    this.dependencies.changed();
  }
}

function packChange({ item, revision, removed }: Change<AgentRecord>): RegistryChange {
  return { agent: { ...item, revision }, removed };
}
