/** The terms of routes as one agent has been told them by balancers. */
import type { Endpoint } from '../../environment';
import type { RouteTerms, AnnouncedTerms } from './route-terms';

/** Routes noted; the one told longest ago is forgotten beyond that. */
const MAXIMUM_ROUTES = 4_096;

/** The view of one agent. */
export class RouteTermsCache {
  private readonly terms = new Map<Endpoint, AnnouncedTerms>();

  /** Routes whose terms are known. */
  get size(): number {
    return this.terms.size;
  }

  /** Takes what a balancer tells; what it had from an earlier table changes nothing. */
  learn(terms: AnnouncedTerms): void {
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

  /** The terms of a route; undefined while nobody has told them. */
  getTerms(destination: Endpoint): RouteTerms | undefined {
    return this.terms.get(destination);
  }
}
