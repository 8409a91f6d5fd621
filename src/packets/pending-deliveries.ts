/**
 * Records the sender of each packet recently sent to the target, so that a packet that the target
 * rejects can be sent back. A ring buffer of fixed size; the token gives the slot.
 */
import type { Endpoint } from '../environment';
import type { SearchMessage } from './packet-messages';

const RING_CAPACITY = 4_096;
const TOKEN_RANGE = 2 ** 32;

/** A packet that was sent to the target. */
export interface PendingDelivery {
  readonly token: number;
  readonly balancer: Endpoint;
  readonly searchId: number;
  /** The search to continue when the target rejects the packet; undefined for none. */
  readonly search: SearchMessage | undefined;
}

/** The latest deliveries of one agent. */
export class PendingDeliveries {
  private readonly ring: (PendingDelivery | undefined)[] = new Array<undefined>(RING_CAPACITY);
  private lastToken: number;

  /** @param firstToken random for each process, so that tokens of an earlier process match nothing */
  constructor(firstToken: number) {
    this.lastToken = firstToken % TOKEN_RANGE;
  }

  /** Records a delivery and returns its token, which is never 0. */
  add(balancer: Endpoint, searchId: number, search?: SearchMessage): number {
    this.lastToken = (this.lastToken + 1) % TOKEN_RANGE || 1;
    const token = this.lastToken;
    this.ring[token % RING_CAPACITY] = { token, balancer, searchId, search };
    return token;
  }

  /** Removes and returns the delivery of a token; undefined when it is unknown or was overwritten. */
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
