/** State of one request on its way through the agent. */
import type { Endpoint, TimerHandle } from '../environment';
import type { CoapMessage } from '../coap/coap-message';

/** A request taken from a caller, until its answer no longer needs repeating. */
export interface RequestExchange {
  readonly caller: Endpoint;
  readonly messageId: number;
  readonly token: Buffer;
  readonly confirmable: boolean;
  /** Tells a repeat from another request that reuses the message id. */
  readonly fingerprint: number;
  readonly method: 'post' | 'other';
  /** Set when a later request took over the token: this answer is not sent any more. */
  superseded: boolean;
  /** The final answer, once there is one. */
  answer: Buffer | undefined;
  /** When the answer may be forgotten. */
  forgetAt: number;
}

/** A request now at this agent's back end. */
export interface BackendExchange {
  /** Token used towards the back end; never reused within an incarnation. */
  readonly token: number;
  readonly messageId: number;
  readonly deadline: TimerHandle;
  readonly onAnswer: (answer: BackendAnswer) => void;
}

/** How the back end's part ended. */
export type BackendAnswer =
  { readonly outcome: 'answered'; readonly message: CoapMessage } | { readonly outcome: 'unknown' };
