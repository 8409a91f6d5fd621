/**
 * What a balancer that has just started knows of open flows at services that their routes lost before.
 *
 * A balancer knows the services that routes have lost only since its first routing table, and other
 * balancers that knew more may be gone. The agent of a flow's target outlives them: it tells the
 * destinations of its flows when asked. An agent that has started as well cannot tell, so it counts as a
 * possible holder of any flow until it can.
 */
import type { Endpoint } from '../environment';
import type { FlowDestinationsMessage } from './packet-messages';

interface DestinationAnswer {
  readonly isComplete: boolean;
  readonly destinations: ReadonlySet<Endpoint>;
}

/** Destinations of the flows at each agent, as known to one balancer. */
export class FlowDestinations {
  private readonly answers = new Map<Endpoint, DestinationAnswer>();
  /** Time of the first routing table; `Infinity` before. */
  private tableSince = Infinity;

  /**
   * @param lifetime milliseconds after which no flow is open that began before a routing table
   * @param applyTime milliseconds in which other balancers may still place flows by an earlier table
   */
  constructor(
    private readonly lifetime: number,
    private readonly applyTime: number,
  ) {}

  /** Records that this balancer has a routing table: it knows the services that routes lose from now on. */
  recordTable(now: number): void {
    this.tableSince = Math.min(this.tableSince, now);
  }

  /** Whether flows may be open at services that this balancer does not know as their routes' own. */
  isNeeded(now: number): boolean {
    return this.tableSince === Infinity || now - this.tableSince < this.lifetime;
  }

  /** Whether an agent must be asked for the destinations of its flows. */
  shouldAsk(agent: Endpoint, now: number): boolean {
    const isPlacingEnded = now - this.tableSince >= this.applyTime;
    const isKnown = isPlacingEnded && this.answers.get(agent)?.isComplete === true;
    return this.isNeeded(now) && !isKnown;
  }

  /** Records the answer of an agent. */
  record(agent: Endpoint, { complete, destinations }: FlowDestinationsMessage): void {
    this.answers.set(agent, {
      isComplete: complete === 1,
      destinations: new Set(destinations),
    });
  }

  /** Whether the target of an agent may hold flows of a destination whose route lacks its service. */
  mayHold(agent: Endpoint, destination: Endpoint, now: number): boolean {
    if (!this.isNeeded(now)) {
      return false;
    }
    const answer = this.answers.get(agent);
    return !answer?.isComplete || answer.destinations.has(destination);
  }

  /** Drops all answers once they are not needed any more. */
  expire(now: number): void {
    if (!this.isNeeded(now)) {
      this.answers.clear();
    }
  }
}
