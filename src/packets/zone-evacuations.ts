/**
 * The zones that operators have taken out of service. Their targets get no new flows until the
 * zone is put back; open flows stay where they are.
 *
 * Every node holds the whole list with the store's moment as of which it is true. A later
 * one replaces it and an earlier one changes nothing, so news may arrive in any order and
 * from anyone.
 *
 * A store that has come back from a copy may lack the latest evacuations until the operator writes them
 * again. So zones that were out of service stay so for a while: that costs some locality, and new flows
 * in a zone that is being emptied would break the operator's order.
 */
import type { Environment, TimerHandle } from '../environment';
import { Events } from '../logging/events';
import type { Changes, Listing } from './collection-port';
import {
  isLater,
  resolveEra,
  REWRITE_TIME_MS,
  UNKNOWN_POSITION,
  type StorePosition,
} from './store-position';

/** A zone that is out of service, as the store lists it. */
export interface EvacuatedZone {
  readonly zone: string;
}

/** All zones that are out of service as of a revision, in a message that names its era apart. */
export interface AnnouncedEvacuations {
  readonly revision: number;
  readonly zones: readonly string[];
}

/** All zones that are out of service as of a moment of the store; revision 0 when unknown. */
export interface ZoneEvacuations extends StorePosition {
  readonly zones: readonly string[];
}

/** What a node knows that has heard nothing of evacuations. */
export const UNKNOWN_EVACUATIONS: ZoneEvacuations = { ...UNKNOWN_POSITION, zones: [] };

/** Told which zones went out of service or came back. */
export type EvacuationObserver = (changedZones: readonly string[]) => void;

/** The zones out of service as one node knows them. */
export class ZoneEvacuationView {
  private latest = UNKNOWN_EVACUATIONS;
  /** Zones that the present era of the store does not list, and the one before did. */
  private retained: readonly string[] = [];
  private retentionTimer: TimerHandle | undefined;

  constructor(
    private readonly environment: Environment,
    private readonly changed: EvacuationObserver,
  ) {}

  /** The latest state known, for other nodes. */
  get current(): ZoneEvacuations {
    return this.latest;
  }

  /** The same for a message whose revisions are of an era; nothing while it is known of another. */
  getCurrentIn(era: number): ZoneEvacuations {
    return this.latest.era === era ? this.latest : UNKNOWN_EVACUATIONS;
  }

  /** Whether any state is known. */
  get isKnown(): boolean {
    return this.latest.revision > 0;
  }

  isEvacuated(zone: string): boolean {
    return this.latest.zones.includes(zone) || this.retained.includes(zone);
  }

  /** Takes a whole listing of the store. */
  applyListing({ items, era, revision }: Listing<EvacuatedZone>): void {
    this.apply({ era, revision, zones: items.map(({ item }) => item.zone) }, 'store');
  }

  /** Takes changes that the store told, in their order. */
  applyChanges({ changes, era, revision }: Changes<EvacuatedZone>): void {
    if (era !== this.latest.era) {
      return;
    }
    const zones = new Set(this.latest.zones);
    for (const { item, removed, revision: changedAt } of changes) {
      if (changedAt <= this.latest.revision) {
        continue;
      }
      if (removed) {
        zones.delete(item.zone);
      } else {
        zones.add(item.zone);
      }
    }
    this.apply({ era, revision, zones: [...zones] }, 'store');
  }

  /** Takes what another node knows; what is not later, or says nothing, changes nothing. */
  apply(received: ZoneEvacuations, origin: string): void {
    const before = this.latest;
    const resolved = resolveEra(received, before);
    if (received.revision === 0 || !isLater(resolved, before)) {
      return;
    }
    const zonesBefore = this.zones;
    this.latest = resolved;
    this.retain(before.revision > 0 && resolved.era > before.era ? zonesBefore : this.retained);
    this.reportChanges(zonesBefore, origin, before.revision === 0);
  }

  /** Ends the timer. */
  stop(): void {
    this.retentionTimer?.cancel();
  }

  /** All zones that get no new flows. */
  private get zones(): readonly string[] {
    return [...this.latest.zones, ...this.retained];
  }

  private retain(zones: readonly string[]): void {
    const hadNone = this.retained.length === 0;
    this.retained = zones.filter((zone) => !this.latest.zones.includes(zone));
    if (hadNone && this.retained.length > 0) {
      this.retentionTimer = this.environment.startTimer(REWRITE_TIME_MS, () => this.endRetention());
    }
  }

  /** The operator has not taken these zones out of service again: the store's word counts. */
  private endRetention(): void {
    const zonesBefore = this.zones;
    this.retained = [];
    this.reportChanges(zonesBefore, 'store', false);
  }

  private reportChanges(before: readonly string[], origin: string, isFirst: boolean): void {
    const { zones } = this;
    const changedZones = [
      ...zones.filter((zone) => !before.includes(zone)),
      ...before.filter((zone) => !zones.includes(zone)),
    ];
    if (changedZones.length > 0) {
      this.environment.report(Events.zonesEvacuated, {
        zones: zones.join(','),
        changed: changedZones.join(','),
        era: this.latest.era,
        revision: this.latest.revision,
        origin,
      });
    }
    if (changedZones.length > 0 || isFirst) {
      this.changed(changedZones);
    }
  }
}
