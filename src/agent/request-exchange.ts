/** Plain state of requests on their way through the agent; all of it can be handed to a successor. */
import type { CoapMessage } from '../coap/coap-message';
import type { Permit } from '../core/permit';
import type { Endpoint } from '../environment';

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

/** Names a caller's request, to find its exchange when it ends. */
export interface CallerRequest {
  readonly kind: 'caller';
  readonly caller: Endpoint;
  readonly messageId: number;
  /** The exchange's own; another request may have taken over the message id meanwhile. */
  readonly fingerprint: number;
  /** The permit it runs under; only for requests that may not be repeated. */
  readonly permit: Permit | undefined;
}

/** Names a request that a peer passed here. */
export interface PeerRequest {
  readonly kind: 'peer';
  readonly origin: string;
  readonly originIncarnation: number;
  readonly originEndpoint: Endpoint;
  readonly passId: number;
}

/** For whom a request runs at the back end. */
export type RequestPurpose = CallerRequest | PeerRequest | { readonly kind: 'load-report' };

/** How a request ended; a refused one did not run. */
export type RequestResult =
  | { readonly outcome: 'answered'; readonly message: CoapMessage }
  | { readonly outcome: 'unknown' }
  | { readonly outcome: 'refused' };

/** A result of a request that reached a back end. */
export type BackendResult = Exclude<RequestResult, { readonly outcome: 'refused' }>;
