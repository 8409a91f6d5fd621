/**
 * The balancers that recently sent datagrams, to select the one that carries a reply.
 *
 * A reply goes through the balancer that last carried the flow if that one has sent a
 * datagram recently, else through the latest sender. This needs no message of its own.
 */
import { BALANCER_FRESHNESS_MS } from '../core/timing';
import type { Endpoint } from '../environment';
import type { AgentContext } from './agent-context';

const MAXIMUM_CONTACTS = 2_048;

/** Balancers by the time of their last datagram. */
export class BalancerContacts {
  private readonly lastContactAt = new Map<Endpoint, number>();
  private latest: Endpoint | undefined;
  private known: readonly Endpoint[];

  constructor(private readonly context: AgentContext) {
    this.known = context.settings.balancers;
  }

  /** Records a datagram that arrived from a balancer. */
  recordContact(balancer: Endpoint): void {
    if (this.lastContactAt.size >= MAXIMUM_CONTACTS && !this.lastContactAt.has(balancer)) {
      this.evictOldest();
    }
    this.lastContactAt.set(balancer, this.context.environment.now());
    this.latest = balancer;
  }

  /** Replaces the known balancers by those that a balancer's answer lists. */
  replaceKnown(balancers: readonly Endpoint[]): void {
    if (balancers.length > 0) {
      this.known = balancers;
    }
  }

  /** Selects the balancer that carries a flow's reply. */
  selectForReply(lastCarrier: Endpoint): Endpoint {
    if (this.isFresh(lastCarrier) || this.latest === undefined) {
      return lastCarrier;
    }
    return this.latest;
  }

  /** Selects a known balancer at random, or at times one from settings, so that none is lost. */
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
