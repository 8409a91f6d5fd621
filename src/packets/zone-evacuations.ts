/**
 * The zones that operators have taken out of service. Their targets get no new flows until the
 * zone is put back; open flows stay where they are.
 *
 * Every node holds the whole list with the store's revision as of which it is true. A later
 * revision replaces it and an earlier one changes nothing, so news may arrive in any order and
 * from anyone.
 */
import type { Environment } from '../environment';
import { Events } from '../logging/events';
import type { Changes, Listing } from './collection-port';

/** A zone that is out of service, as the store lists it. */
export interface EvacuatedZone {
  readonly zone: string;
}

/** All zones that are out of service as of a revision of the store; revision 0 when unknown. */
export interface ZoneEvacuations {
  readonly revision: number;
  readonly zones: readonly string[];
}

/** What a node knows that has heard nothing of evacuations. */
export const UNKNOWN_EVACUATIONS: ZoneEvacuations = { revision: 0, zones: [] };

/** Told which zones went out of service or came back. */
export type EvacuationObserver = (changedZones: readonly string[]) => void;

/** The zones out of service as one node knows them. */
export class ZoneEvacuationView {
  private held = UNKNOWN_EVACUATIONS;

  constructor(
    private readonly environment: Environment,
    private readonly changed: EvacuationObserver,
  ) {}

  /** The latest state known, for other nodes. */
  get current(): ZoneEvacuations {
    return this.held;
  }

  /** Whether any state is known. */
  get isKnown(): boolean {
    return this.held.revision > 0;
  }

  isEvacuated(zone: string): boolean {
    return this.held.zones.includes(zone);
  }

  /** Takes a whole listing of the store. */
  takeListing({ items, revision }: Listing<EvacuatedZone>): void {
    this.take({ revision, zones: items.map(({ item }) => item.zone) }, 'store');
  }

  /** Takes changes that the store told, in their order. */
  takeChanges({ changes, revision }: Changes<EvacuatedZone>): void {
    const zones = new Set(this.held.zones);
    for (const { item, removed, revision: changedAt } of changes) {
      if (changedAt <= this.held.revision) {
        continue;
      }
      if (removed) {
        zones.delete(item.zone);
      } else {
        zones.add(item.zone);
      }
    }
    this.take({ revision, zones: [...zones] }, 'store');
  }

  /** Takes what another node knows; what is not later changes nothing. */
  take(told: ZoneEvacuations, origin: string): void {
    const { zones: before, revision } = this.held;
    if (told.revision <= revision) {
      return;
    }
    this.held = told;
    const changedZones = [
      ...told.zones.filter((zone) => !before.includes(zone)),
      ...before.filter((zone) => !told.zones.includes(zone)),
    ];
    if (changedZones.length > 0) {
      this.environment.report(Events.zonesEvacuated, {
        zones: told.zones.join(','),
        changed: changedZones.join(','),
        revision: told.revision,
        origin,
      });
    }
    if (changedZones.length > 0 || revision === 0) {
      this.changed(changedZones);
    }
  }
}
