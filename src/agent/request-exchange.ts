/** Plain state of requests in the agent; all of it can be handed to a successor. */
import type { CoapMessage } from '../coap/coap-message';
import type { Permit } from '../core/permit';
import type { Endpoint } from '../environment';

/** A caller's request, retained until its answer no longer needs retransmission. */
export interface RequestExchange {
  readonly caller: Endpoint;
  readonly messageId: number;
  readonly token: Buffer;
  readonly confirmable: boolean;
  /** Distinguishes a retransmission from another request that reuses the message id. */
  readonly fingerprint: number;
  readonly method: 'post' | 'other';
  /** Set when a later request reuses the token: this answer is no longer sent. */
  superseded: boolean;
  /** The final answer, once there is one. */
  answer: Buffer | undefined;
  /** When the exchange may be removed. */
  forgetAt: number;
}

/** Identifies a caller's request, to find its exchange when it ends. */
export interface CallerRequest {
  readonly kind: 'caller';
  readonly caller: Endpoint;
  readonly messageId: number;
  /** Fingerprint of the exchange; another request may have reused the message id meanwhile. */
  readonly fingerprint: number;
  /** The permit it runs under; only for requests that are not idempotent. */
  readonly permit: Permit | undefined;
}

/** Identifies a request that a peer forwarded here. */
export interface PeerRequest {
  readonly kind: 'peer';
  readonly origin: string;
  readonly originIncarnation: number;
  readonly originEndpoint: Endpoint;
  readonly passId: number;
}

/** For whom a request is run at the back end. */
export type RequestPurpose = CallerRequest | PeerRequest | { readonly kind: 'load-report' };

/** The result of a request; a refused one did not run. */
export type RequestResult =
  | { readonly outcome: 'answered'; readonly message: CoapMessage }
  | { readonly outcome: 'unknown' }
  | { readonly outcome: 'refused' };

/** The result of a request that was sent to a back end. */
export type BackendResult = Exclude<RequestResult, { readonly outcome: 'refused' }>;
