/** Route terms that balancers have announced to one agent. */
import type { Endpoint } from '../../environment';
import type { RouteTerms, AnnouncedTerms } from './route-terms';

/** Beyond this number the route announced longest ago is dropped. */
const MAXIMUM_ROUTES = 4_096;

/** Route terms known to one agent. */
export class RouteTermsCache {
  private readonly terms = new Map<Endpoint, AnnouncedTerms>();

  /** Number of routes with known terms. */
  get size(): number {
    return this.terms.size;
  }

  /** Applies terms announced by a balancer; those of an earlier table are ignored. */
  apply(terms: AnnouncedTerms): void {
    const { destination, version } = terms;
    const known = this.terms.get(destination);
    if (known && version < known.version) {
      return;
    }
    this.terms.delete(destination);
    this.terms.set(destination, terms);
    if (this.terms.size > MAXIMUM_ROUTES) {
      const [oldest] = this.terms.keys();
      this.terms.delete(oldest!);
    }
  }

  /** The terms of a route; undefined until announced. */
  getTerms(destination: Endpoint): RouteTerms | undefined {
    return this.terms.get(destination);
  }
}
