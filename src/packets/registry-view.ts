/** Takes what the registry and other balancers list of agents into a balancer's directory. */
import type { Environment } from '../environment';
import { Events } from '../logging/events';
import type { AgentDirectory } from './agent-directory';
import type { Change, Changes, Listing } from './collection-port';
import type { AgentRecord, ListedAgent, RegistryChange, RegistryDelta } from './packet-messages';
import { isLater, resolveEra, UNKNOWN_POSITION, type StorePosition } from './store-position';

/** What the view works with. */
export interface RegistryViewDependencies {
  readonly environment: Environment;
  readonly directory: AgentDirectory;
  /** The directory may know other agents now, or be complete. */
  onChanged(): void;
}

/** The registry as one balancer has taken it. */
export class RegistryView {
  private currentPosition = UNKNOWN_POSITION;

  constructor(private readonly dependencies: RegistryViewDependencies) {}

  /**
   * The store's revision through which the registry's changes are known; 0 before any listing.
   * Two balancers of the same revision know the same entries.
   */
  get revision(): number {
    return this.currentPosition.revision;
  }

  /** The moment of the store through which the registry's changes are known. */
  get position(): StorePosition {
    return this.currentPosition;
  }

  /** Takes a whole listing of the store: the directory is complete from now on. */
  applyListing(listing: Listing<AgentRecord>): void {
    const agents = listing.items.map(({ item, revision }) => ({ ...item, revision }));
    const { era, revision } = listing;
    const differs = this.replaceEntries(agents, listing);
    const isFirstOfEra = era > this.currentPosition.era || this.currentPosition.revision === 0;
    if ((differs || isFirstOfEra) && isLater(listing, this.currentPosition)) {
      this.currentPosition = { era, revision };
    }
    this.markComplete('store');
  }

  /**
   * Takes changes of the registry that the store told.
   * @returns what other balancers lack after it; undefined when nothing is new
   */
  applyChanges({ changes, era, revision }: Changes<AgentRecord>): RegistryDelta | undefined {
    const from = this.currentPosition.revision;
    if (changes.length === 0 || era !== this.currentPosition.era || revision <= from) {
      return undefined;
    }
    const delta: RegistryDelta = { from, to: revision, changes: changes.map(packChange) };
    this.updateDirectory(delta.changes, delta.to);
    return delta;
  }

  /**
   * Takes changes that another balancer has read, if they follow what is known here.
   * @param era the era of their revisions; 0 when it is not told
   */
  applyDelta({ from, to, changes }: RegistryDelta, era: number): void {
    const { isComplete } = this.dependencies.directory;
    const deltaPosition = resolveEra({ era, revision: to }, this.currentPosition);
    if (
      isComplete &&
      deltaPosition.era === this.currentPosition.era &&
      from <= this.revision &&
      this.revision < to
    ) {
      this.updateDirectory(changes, to);
    }
  }

  /** Takes the registry as a balancer whose directory is complete knows it. */
  applySnapshot(agents: readonly ListedAgent[], peerPosition: StorePosition, origin: string): void {
    const position = resolveEra(peerPosition, this.currentPosition);
    if (isLater(position, this.currentPosition)) {
      this.replaceEntries(
        agents.filter(({ revision: listed }) => listed > 0),
        position,
      );
      this.currentPosition = position;
    }
    this.mergeAgents(agents);
    this.markComplete(origin);
  }

  /** Takes agents that another balancer knows. */
  mergeAgents(agents: readonly AgentRecord[]): void {
    const { directory, environment } = this.dependencies;
    const now = environment.now();
    agents.forEach((agent) => directory.upsert(agent, undefined, now));
    this.dependencies.onChanged();
  }

  /**
   * Makes the directory list these agents and no others; true when it did not before. What a later
   * era does not list was not removed by anyone: the store's copy was older.
   */
  private replaceEntries(agents: readonly ListedAgent[], asOf: StorePosition): boolean {
    if (isLater(this.currentPosition, asOf)) {
      return false;
    }
    const isLaterEra = this.currentPosition.revision > 0 && asOf.era > this.currentPosition.era;
    const { directory, environment } = this.dependencies;
    const now = environment.now();
    const listed = new Set(agents.map(({ address }) => address));
    let differs = false;
    for (const { address, registryRevision } of [...directory.getAll()]) {
      if (registryRevision !== undefined && !listed.has(address)) {
        if (isLaterEra) {
          directory.markLapsed(address, now);
        } else {
          directory.markUnregistered(address, now);
        }
        differs = true;
      }
    }
    for (const { revision, ...agent } of agents) {
      differs ||= directory.find(agent.address)?.registryRevision !== revision;
      directory.upsert(agent, revision, now);
    }
    return differs;
  }

  private updateDirectory(changes: readonly RegistryChange[], revision: number): void {
    const { directory, environment } = this.dependencies;
    const now = environment.now();
    for (const { agent, removed } of changes) {
      const { revision: changedAt, ...record } = agent;
      const known = directory.find(record.address)?.registryRevision ?? 0;
      if (changedAt < known) {
        continue;
      }
      if (removed) {
        directory.markUnregistered(record.address, now);
      } else {
        directory.upsert(record, changedAt, now);
      }
    }
    this.currentPosition = { era: this.currentPosition.era, revision };
    this.dependencies.onChanged();
  }

  private markComplete(origin: string): void {
    const { directory, environment } = this.dependencies;
    if (!directory.isComplete) {
      directory.markComplete(environment.now());
      environment.report(Events.viewComplete, { origin, agents: directory.size });
    }
    this.dependencies.onChanged();
  }
}

function packChange({ item, revision, removed }: Change<AgentRecord>): RegistryChange {
  return { agent: { ...item, revision }, removed };
}
