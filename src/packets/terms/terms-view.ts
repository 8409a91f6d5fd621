/** The terms of routes as one agent has been told them by balancers. */
import type { Endpoint } from '../../environment';
import type { RouteTerms, ToldTerms } from './route-terms';

/** Routes noted; the one told longest ago is forgotten beyond that. */
const MAXIMUM_ROUTES = 4_096;

/** The view of one agent. */
export class TermsView {
  private readonly told = new Map<Endpoint, ToldTerms>();

  /** Routes whose terms are known. */
  get size(): number {
    return this.told.size;
  }

  /** Takes what a balancer tells; what it had from an earlier table changes nothing. */
  learn(terms: ToldTerms): void {
    const { destination, version } = terms;
    const known = this.told.get(destination);
    if (known && version < known.version) {
      return;
    }
    this.told.delete(destination);
    this.told.set(destination, terms);
    if (this.told.size > MAXIMUM_ROUTES) {
      const [oldest] = this.told.keys();
      this.told.delete(oldest!);
    }
  }

  /** The terms of a route; undefined while nobody has told them. */
  termsOf(destination: Endpoint): RouteTerms | undefined {
    return this.told.get(destination);
  }
}
