/**
 * Distributes the new flows of a route over its services by weight. Smooth weighted
 * round-robin: any sequence of flows is split in proportion, with the services interleaved.
 */
import type { Endpoint } from '../environment';
import type { Route } from './routing-table';

/** Round-robin state of the routes that have more than one service. */
export class WeightedRoundRobin {
  private readonly credits = new Map<Endpoint, Map<string, number>>();

  /** Selects the service for the route's next flow. */
  selectNext(route: Route): string {
    if (route.services.length === 1) {
      return route.services[0]!.service;
    }
    const credits = this.getCredits(route);
    let total = 0;
    let best = route.services[0]!.service;
    let bestCredit = -Infinity;
    for (const { service, weight } of route.services) {
      const credit = (credits.get(service) ?? 0) + weight;
      credits.set(service, credit);
      total += weight;
      if (weight > 0 && credit > bestCredit) {
        best = service;
        bestCredit = credit;
      }
    }
    credits.set(best, (credits.get(best) ?? 0) - total);
    return best;
  }

  /** Clears all credits; for a new routing table. */
  reset(): void {
    this.credits.clear();
  }

  private getCredits(route: Route): Map<string, number> {
    const existing = this.credits.get(route.destination);
    if (existing) {
      return existing;
    }
    const created = new Map<string, number>();
    this.credits.set(route.destination, created);
    return created;
  }
}
