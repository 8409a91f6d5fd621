/**
 * What an agent does with a caller's datagram: deliver it, pass it to the flow's
 * host, place a new flow, or pass it to the owner of its bucket.
 */
import { HOP_LIMIT, PARKED_FRAME_LIFETIME_MS, PEER_TIMEOUT_MS } from '../core/timing';
import type { Endpoint } from '../environment';
import { Events } from '../logging/events';
import { AgentState, type ForwardMessage } from '../wire/messages';
import type { AgentContext } from './agent-context';
import type { BalancerContacts } from './balancer-contacts';
import type { BucketDirectory } from './bucket-directory';
import { unpackCallers } from './flow-entries';
import type { FlowTable, HostedFlow } from './flow-table';
import type { GroupMembership, Peer } from './group-membership';

const MAXIMUM_PARKED_FRAMES = 256;

/** Where the router's decisions go. */
export interface FlowSink {
  /** A datagram of a flow hosted here. */
  deliver(caller: Endpoint, flow: HostedFlow, payload: Buffer): void;
  /** A datagram whose flow no target can take now. */
  refuse(caller: Endpoint, balancer: Endpoint, payload: Buffer): void;
}

interface ParkedFrame {
  readonly message: ForwardMessage;
  readonly parkedAt: number;
}

/** Routes forwarded datagrams among the agents of one service. */
export class FlowRouter {
  private parked: ParkedFrame[] = [];
  /** Flows placed lately: a notice of their end that was sent before is out of date. */
  private readonly placedAt = new Map<Endpoint, number>();

  constructor(
    private readonly context: AgentContext,
    private readonly membership: GroupMembership,
    private readonly directory: BucketDirectory,
    private readonly flows: FlowTable,
    private readonly contacts: BalancerContacts,
    private readonly sink: FlowSink,
  ) {}

  /** Takes a datagram that a balancer or another agent forwarded here. */
  receive(message: ForwardMessage): void {
    if (!this.isAddressedHere(message)) {
      return;
    }
    const flow = this.flows.get(message.caller);
    if (flow) {
      this.deliver(message, flow);
    } else if (this.context.hostsAnyFlow || this.wasPlacedHere(message)) {
      this.host(message);
    } else {
      this.route(message);
    }
  }

  /** Tries parked frames again, after buckets became owned. */
  retryParked(): void {
    const waiting = this.parked;
    this.parked = [];
    waiting.forEach(({ message }) => this.receive(message));
  }

  /** Takes notices of flows that ended at a peer. */
  removeClosedFlows(peer: Peer, closed: Buffer): void {
    for (const caller of unpackCallers(closed)) {
      if (!this.placedAt.has(caller)) {
        this.directory.removeIfHost(this.context.getBucket(caller), caller, peer.target);
      }
    }
  }

  /** Periodic housekeeping. */
  removeOldPlacements(): void {
    const oldest = this.context.environment.now() - PEER_TIMEOUT_MS;
    for (const [caller, placedAt] of this.placedAt) {
      if (placedAt < oldest) {
        this.placedAt.delete(caller);
      }
    }
  }

  private isAddressedHere(message: ForwardMessage): boolean {
    const { settings, safeguards, environment } = this.context;
    if (!safeguards.has('target-check')) {
      return true;
    }
    if (message.service !== settings.service) {
      environment.report(Events.frameWrongService, { service: message.service });
      return false;
    }
    if (message.target !== settings.target) {
      environment.report(Events.frameWrongTarget, { target: message.target });
      return false;
    }
    return true;
  }

  /**
   * A placement counts unless its owner is dead here, or this agent is out of touch
   * with its group, as after a freeze: then another agent may host the flow by now,
   * and the frame was long under way.
   */
  private wasPlacedHere(message: ForwardMessage): boolean {
    const { placedBy } = message;
    return placedBy !== '' && this.membership.peer(placedBy)?.dead === false && this.mayAdmit();
  }

  private deliver(message: ForwardMessage, flow: HostedFlow): void {
    flow.balancer = message.balancer;
    flow.lastActive = this.context.environment.now();
    this.sink.deliver(message.caller, flow, message.payload);
  }

  private host(message: ForwardMessage): void {
    const maximumFlows = this.membership.ownRow?.connections ?? 0;
    if (this.flows.size >= maximumFlows) {
      this.refuse(message);
      return;
    }
    this.deliver(message, this.flows.open(message.caller, message.balancer));
  }

  private route(message: ForwardMessage): void {
    const bucket = this.context.getBucket(message.caller);
    const phase = this.directory.getPhase(bucket);
    if (phase === 'owned' && this.mayAdmit()) {
      this.routeAsOwner(message, bucket);
    } else if (
      phase === 'none' &&
      this.directory.getOwner(bucket) !== this.context.settings.target
    ) {
      this.forwardToOwner(message, bucket);
    } else {
      this.park(message);
    }
  }

  private mayAdmit(): boolean {
    return !this.context.safeguards.has('handshake') || this.membership.holdsQuorum();
  }

  private routeAsOwner(message: ForwardMessage, bucket: number): void {
    const known = this.directory.getHost(bucket, message.caller);
    const host = known !== undefined && this.isReachable(known) ? known : this.placeFlow();
    if (host === undefined) {
      this.refuse(message);
      return;
    }
    if (host !== known) {
      this.directory.setHost(bucket, message.caller, host);
      this.placedAt.set(message.caller, this.context.environment.now());
    }
    if (host === this.context.settings.target) {
      this.host(message);
    } else {
      this.forwardTo(host, message, this.context.settings.target);
    }
  }

  /** An entry that names this agent while it hosts no such flow is left over from an ended flow. */
  private isReachable(host: string): boolean {
    return host !== this.context.settings.target && this.membership.peer(host)?.dead === false;
  }

  private placeFlow(): string | undefined {
    const candidates = this.membership.listCandidates();
    const { environment } = this.context;
    const chosen = this.context.place(
      candidates,
      this.directory.getOwnerCount(),
      environment.random(),
    );
    const peer = chosen && this.membership.peer(chosen.target);
    if (peer) {
      peer.placedSince++;
    }
    return chosen?.target;
  }

  private forwardToOwner(message: ForwardMessage, bucket: number): void {
    const owner = this.directory.getOwner(bucket);
    if (owner === undefined) {
      this.refuse(message);
    } else {
      this.forwardTo(owner, message, '');
    }
  }

  private forwardTo(target: string, message: ForwardMessage, placedBy: string): void {
    if (message.hops >= HOP_LIMIT) {
      this.context.environment.report(Events.frameHopLimit, { target });
      return;
    }
    const peer = this.membership.peer(target);
    if (peer && peer.state !== AgentState.stopped) {
      this.context.send(peer.endpoint, { ...message, target, placedBy, hops: message.hops + 1 });
    }
  }

  /** Holds a frame for the moment that a claim takes; refuses it if the claim takes longer. */
  private park(message: ForwardMessage): void {
    if (this.parked.length >= MAXIMUM_PARKED_FRAMES) {
      this.refuse(message);
      return;
    }
    // A placement that could not count now must not count later: another may host the flow.
    const unplaced = { ...message, placedBy: '' };
    this.parked.push({ message: unplaced, parkedAt: this.context.environment.now() });
    this.context.environment.startTimer(PARKED_FRAME_LIFETIME_MS, () => this.refuseOverdue());
  }

  private refuseOverdue(): void {
    const oldest = this.context.environment.now() - PARKED_FRAME_LIFETIME_MS;
    const overdue = this.parked.filter((frame) => frame.parkedAt <= oldest);
    this.parked = this.parked.filter((frame) => frame.parkedAt > oldest);
    overdue.forEach(({ message }) => this.refuse(message));
  }

  private refuse(message: ForwardMessage): void {
    this.context.environment.report(Events.flowRefused, {});
    this.sink.refuse(
      message.caller,
      this.contacts.selectForReply(message.balancer),
      message.payload,
    );
  }
}
