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
  placeInEra,
  REWRITE_TIME,
  UNKNOWN_POSITION,
  type StorePosition,
} from './store-position';

/** A zone that is out of service, as the store lists it. */
export interface EvacuatedZone {
  readonly zone: string;
}

/** All zones that are out of service as of a revision, in a message that names its era apart. */
export interface ToldEvacuations {
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
  private held = UNKNOWN_EVACUATIONS;
  /** Zones that the present era of the store does not list, and the one before did. */
  private carried: readonly string[] = [];
  private carryTimer: TimerHandle | undefined;

  constructor(
    private readonly environment: Environment,
    private readonly changed: EvacuationObserver,
  ) {}

  /** The latest state known, for other nodes. */
  get current(): ZoneEvacuations {
    return this.held;
  }

  /** The same for a message whose revisions are of an era; nothing while it is known of another. */
  currentIn(era: number): ZoneEvacuations {
    return this.held.era === era ? this.held : UNKNOWN_EVACUATIONS;
  }

  /** Whether any state is known. */
  get isKnown(): boolean {
    return this.held.revision > 0;
  }

  isEvacuated(zone: string): boolean {
    return this.held.zones.includes(zone) || this.carried.includes(zone);
  }

  /** Takes a whole listing of the store. */
  takeListing({ items, era, revision }: Listing<EvacuatedZone>): void {
    this.take({ era, revision, zones: items.map(({ item }) => item.zone) }, 'store');
  }

  /** Takes changes that the store told, in their order. */
  takeChanges({ changes, era, revision }: Changes<EvacuatedZone>): void {
    if (era !== this.held.era) {
      return;
    }
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
    this.take({ era, revision, zones: [...zones] }, 'store');
  }

  /** Takes what another node knows; what is not later, or says nothing, changes nothing. */
  take(told: ZoneEvacuations, origin: string): void {
    const before = this.held;
    const taken = placeInEra(told, before);
    if (told.revision === 0 || !isLater(taken, before)) {
      return;
    }
    const zonesBefore = this.zones;
    this.held = taken;
    this.carry(before.revision > 0 && taken.era > before.era ? zonesBefore : this.carried);
    this.tellChanges(zonesBefore, origin, before.revision === 0);
  }

  /** Ends the timer. */
  stop(): void {
    this.carryTimer?.cancel();
  }

  /** All zones that get no new flows. */
  private get zones(): readonly string[] {
    return [...this.held.zones, ...this.carried];
  }

  private carry(zones: readonly string[]): void {
    const hadNone = this.carried.length === 0;
    this.carried = zones.filter((zone) => !this.held.zones.includes(zone));
    if (hadNone && this.carried.length > 0) {
      this.carryTimer = this.environment.startTimer(REWRITE_TIME, () => this.endCarry());
    }
  }

  /** The operator has not taken these zones out of service again: the store's word counts. */
  private endCarry(): void {
    const zonesBefore = this.zones;
    this.carried = [];
    this.tellChanges(zonesBefore, 'store', false);
  }

  private tellChanges(before: readonly string[], origin: string, isFirst: boolean): void {
    const { zones } = this;
    const changedZones = [
      ...zones.filter((zone) => !before.includes(zone)),
      ...before.filter((zone) => !zones.includes(zone)),
    ];
    if (changedZones.length > 0) {
      this.environment.report(Events.zonesEvacuated, {
        zones: zones.join(','),
        changed: changedZones.join(','),
        era: this.held.era,
        revision: this.held.revision,
        origin,
      });
    }
    if (changedZones.length > 0 || isFirst) {
      this.changed(changedZones);
    }
  }
}
