/** Queries between agents that revoke a permit if no request has run under it. */
import type { Permit } from '../core/permit';
import type { Endpoint } from '../environment';
import { MessageType, type PermitAnswerMessage, type PermitQueryMessage } from '../wire/messages';
import type { AgentContext } from './agent-context';
import type { GroupMembership, Peer } from './group-membership';
import type { PermitAuthority } from './permit-authority';

const RETRANSMIT_INTERVAL_MS = 300;
const MAXIMUM_ATTEMPTS = 4;

interface PermitQuery {
  readonly id: number;
  readonly permit: Permit;
  readonly issuer: Peer;
  readonly onDone: (isRevoked: boolean) => void;
  attempts: number;
}

/** Sends and answers permit queries. */
export class PermitQueries {
  private readonly queries = new Map<number, PermitQuery>();
  private nextId = 1;

  constructor(
    private readonly context: AgentContext,
    private readonly membership: GroupMembership,
    private readonly permits: PermitAuthority,
  ) {}

  /** Asks the issuer to revoke a permit; `onDone(false)` if it was used or that is unknown. */
  queryIssuer(permit: Permit, onDone: (isRevoked: boolean) => void): void {
    const issuer = this.membership
      .listPeersToQuery()
      .find((peer) => peer.incarnation === permit.incarnation);
    if (!issuer) {
      onDone(false);
      return;
    }
    const query = { id: this.nextId++, permit, issuer, onDone, attempts: 0 };
    this.queries.set(query.id, query);
    this.transmit(query);
  }

  /** Answers a peer's query about a permit issued here. */
  receiveQuery(message: PermitQueryMessage, from: Endpoint): void {
    const { settings } = this.context;
    if (message.issuerIncarnation !== settings.incarnation) {
      return;
    }
    this.context.send(from, {
      type: MessageType.permitAnswer,
      service: settings.service,
      target: settings.target,
      queryId: message.queryId,
      burnt: this.permits.burnIfUnused(message.serial, message.expiresAt) ? 1 : 0,
    });
  }

  /** Handles the issuer's answer. */
  receiveAnswer(message: PermitAnswerMessage): void {
    const query = this.queries.get(message.queryId);
    if (query?.issuer.target === message.target) {
      this.finish(query, message.burnt === 1);
    }
  }

  private transmit(query: PermitQuery): void {
    if (!this.queries.has(query.id)) {
      return;
    }
    if (query.attempts >= MAXIMUM_ATTEMPTS) {
      this.finish(query, false);
      return;
    }
    query.attempts++;
    this.context.send(query.issuer.endpoint, {
      type: MessageType.permitQuery,
      service: this.context.settings.service,
      target: this.context.settings.target,
      queryId: query.id,
      issuerIncarnation: query.permit.incarnation,
      serial: query.permit.serial,
      expiresAt: query.permit.expiresAt,
    });
    this.context.environment.startTimer(RETRANSMIT_INTERVAL_MS, () => this.transmit(query));
  }

  private finish(query: PermitQuery, isRevoked: boolean): void {
    this.queries.delete(query.id);
    query.onDone(isRevoked);
  }
}
