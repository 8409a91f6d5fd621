/**
 * Remembers for a while who sent each packet that was handed to the target, so that a
 * packet the target returns goes back to its sender. A fixed ring: the token is its slot.
 */
import type { Endpoint } from '../environment';
import type { SearchMessage } from './packet-messages';

const RING_CAPACITY = 4_096;
const TOKEN_RANGE = 2 ** 32;

/** One packet at the target. */
export interface PendingDelivery {
  readonly token: number;
  readonly balancer: Endpoint;
  readonly searchId: number;
  /** The search that goes on when the target returns the packet; undefined for none. */
  readonly search: SearchMessage | undefined;
}

/** The latest deliveries of one agent. */
export class PendingDeliveries {
  private readonly ring: (PendingDelivery | undefined)[] = new Array<undefined>(RING_CAPACITY);
  private lastToken: number;

  /** @param firstToken differs from run to run, so that another run's tokens mean nothing */
  constructor(firstToken: number) {
    this.lastToken = firstToken % TOKEN_RANGE;
  }

  /** Notes a delivery and returns its token, which is never 0. */
  add(balancer: Endpoint, searchId: number, search?: SearchMessage): number {
    this.lastToken = (this.lastToken + 1) % TOKEN_RANGE || 1;
    const token = this.lastToken;
    this.ring[token % RING_CAPACITY] = { token, balancer, searchId, search };
    return token;
  }

  /** Takes the delivery of a token out; undefined when it is too old or unknown. */
  take(token: number): PendingDelivery | undefined {
    const slot = token % RING_CAPACITY;
    const found = this.ring[slot];
    if (found?.token !== token) {
      return undefined;
    }
    this.ring[slot] = undefined;
    return found;
  }
}
