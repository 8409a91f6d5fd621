/**
 * The balancers this agent has lately heard, and through which a reply goes.
 *
 * A reply goes through the balancer that last carried the flow while that one is
 * still heard; else through the one heard last. No message of its own is needed.
 */
import { BALANCER_FRESHNESS_MS } from '../core/timing';
import type { Endpoint } from '../environment';
import type { AgentContext } from './agent-context';

const MAXIMUM_CONTACTS = 2_048;

/** Times at which balancers were last heard. */
export class BalancerContacts {
  private readonly lastContactAt = new Map<Endpoint, number>();
  private latest: Endpoint | undefined;
  private known: readonly Endpoint[];

  constructor(private readonly context: AgentContext) {
    this.known = context.settings.balancers;
  }

  /** Notes a datagram that arrived from a balancer. */
  recordContact(balancer: Endpoint): void {
    if (this.lastContactAt.size >= MAXIMUM_CONTACTS && !this.lastContactAt.has(balancer)) {
      this.evictOldest();
    }
    this.lastContactAt.set(balancer, this.context.environment.now());
    this.latest = balancer;
  }

  /** Replaces the balancers to turn to, as a balancer's answer names them. */
  replaceKnown(balancers: readonly Endpoint[]): void {
    if (balancers.length > 0) {
      this.known = balancers;
    }
  }

  /** The balancer to send a flow's reply through. */
  selectForReply(lastCarrier: Endpoint): Endpoint {
    if (this.isFresh(lastCarrier) || this.latest === undefined) {
      return lastCarrier;
    }
    return this.latest;
  }

  /** One of the known balancers, at random, or one from settings at times, so that none is lost for good. */
  selectForHello(): Endpoint | undefined {
    const { environment, settings } = this.context;
    const useSettings = environment.random() < 0.25;
    const choices = useSettings && settings.balancers.length > 0 ? settings.balancers : this.known;
    return choices[Math.floor(environment.random() * choices.length)];
  }

  private isFresh(balancer: Endpoint): boolean {
    const contactAt = this.lastContactAt.get(balancer);
    return (
      contactAt !== undefined && this.context.environment.now() - contactAt <= BALANCER_FRESHNESS_MS
    );
  }

  private evictOldest(): void {
    const oldest = this.lastContactAt.keys().next();
    if (!oldest.done) {
      this.lastContactAt.delete(oldest.value);
    }
  }
}
