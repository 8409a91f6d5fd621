/** Configurations of the model deployment in which a route loses the service of its open flows. */
import type { Endpoint } from '../../src/environment';
import type { PacketSimulation } from '../../src/simulation/packets/packet-simulation';
import { MAP_DESTINATION, TILE_DESTINATION } from '../../src/simulation/packets/random-faults';

/** Service names by destination. */
export type Routes = ReadonlyMap<Endpoint, readonly string[]>;

export const ORIGINAL: Routes = new Map([
  [MAP_DESTINATION, ['map']],
  [TILE_DESTINATION, ['tiles']],
]);
export const MOVED: Routes = new Map([
  [MAP_DESTINATION, ['tiles']],
  [TILE_DESTINATION, ['tiles']],
]);

export function countDone({ clients }: PacketSimulation): number {
  return clients.filter(({ state }) => state === 'done').length;
}

/** Counts the opening packets that have reached targets of the map service. */
export function countMapOpenings({ agents }: PacketSimulation): number {
  const maps = agents.filter(({ service }) => service === 'map');
  return maps.reduce((sum, { openings }) => sum + openings.length, 0);
}
