/** Applies agents listed by the registry and by other balancers to a balancer's directory. */
import { isUnicastEndpoint } from '../core/endpoint';
import type { Endpoint, Environment } from '../environment';
import { Events } from '../logging/events';
import type { AgentDirectory } from './agent-directory';
import type { Change, Changes, Listing } from './collection-port';
import type { AgentRecord, ListedAgent, RegistryChange, RegistryDelta } from './packet-messages';
import { SkippedEntries } from './skipped-entries';
import { isLater, resolveEra, UNKNOWN_POSITION, type StorePosition } from './store-position';

/** Dependencies of the registry view. */
export interface RegistryViewDependencies {
  readonly environment: Environment;
  readonly directory: AgentDirectory;
  /** Address of this balancer, which is no agent's. */
  readonly self: Endpoint;
  /** Called when the directory's agents or its completeness may have changed. */
  onChanged(): void;
}

/** The registry as known to one balancer. */
export class RegistryView {
  private currentPosition = UNKNOWN_POSITION;
  private readonly skippedEntries: SkippedEntries;

  constructor(private readonly dependencies: RegistryViewDependencies) {
    this.skippedEntries = new SkippedEntries(dependencies.environment, 'agents');
  }

  /**
   * Store revision up to which registry changes are applied; 0 before any listing.
   * Two balancers with the same revision know the same entries.
   */
  get revision(): number {
    return this.currentPosition.revision;
  }

  /** Store position up to which registry changes are applied. */
  get position(): StorePosition {
    return this.currentPosition;
  }

  /** Applies a full listing of the store; the directory is complete afterwards. */
  applyListing(listing: Listing<AgentRecord>): void {
    const agents = listing.items.map(({ item, revision }) => ({ ...item, revision }));
    const { era, revision } = listing;
    const hasChanged = this.replaceEntries(agents, listing);
    const isFirstOfEra = era > this.currentPosition.era || this.currentPosition.revision === 0;
    if ((hasChanged || isFirstOfEra) && isLater(listing, this.currentPosition)) {
      this.currentPosition = { era, revision };
    }
    this.markComplete('store');
  }

  /**
   * Applies registry changes read from the store.
   * @returns the delta to send to other balancers; undefined when nothing is new
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
   * Applies changes that another balancer has read, unless changes before them are missing here.
   * @param era the era of their revisions; 0 when unknown
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

  /** Applies the registry of a balancer whose directory is complete. */
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

  /** Adds agents known to another balancer. */
  mergeAgents(agents: readonly AgentRecord[]): void {
    const { directory, environment } = this.dependencies;
    const now = environment.now();
    this.selectUsable(agents).forEach((agent) => directory.upsert(agent, undefined, now));
    this.dependencies.onChanged();
  }

  /**
   * Makes these agents the registered ones of the directory; true when that changed anything.
   * Agents missing from a later era were not removed: the restored backup was older.
   */
  private replaceEntries(agents: readonly ListedAgent[], asOf: StorePosition): boolean {
    if (isLater(this.currentPosition, asOf)) {
      return false;
    }
    const isLaterEra = this.currentPosition.revision > 0 && asOf.era > this.currentPosition.era;
    const { directory, environment } = this.dependencies;
    const now = environment.now();
    const listed = new Set(agents.map(({ address }) => address));
    let hasChanged = false;
    for (const { address, registryRevision } of [...directory.getAll()]) {
      if (registryRevision !== undefined && !listed.has(address)) {
        if (isLaterEra) {
          directory.markLapsed(address, now);
        } else {
          directory.markUnregistered(address, now);
        }
        hasChanged = true;
      }
    }
    for (const { revision, ...agent } of this.selectUsable(agents)) {
      hasChanged ||= directory.find(agent.address)?.registryRevision !== revision;
      directory.upsert(agent, revision, now);
    }
    return hasChanged;
  }

  private updateDirectory(changes: readonly RegistryChange[], revision: number): void {
    const { directory, environment } = this.dependencies;
    const now = environment.now();
    const usable = changes.filter(({ agent, removed }) => removed || this.isUsable(agent));
    this.skippedEntries.record(changes.length - usable.length);
    for (const { agent, removed } of usable) {
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

  private selectUsable<T extends AgentRecord>(agents: readonly T[]): readonly T[] {
    const usable = agents.filter((agent) => this.isUsable(agent));
    this.skippedEntries.record(agents.length - usable.length);
    return usable;
  }

  /** Whether an entry can be an agent's; balancers of an earlier version also announce others. */
  private isUsable({ address }: AgentRecord): boolean {
    return isUnicastEndpoint(address) && address !== this.dependencies.self;
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
