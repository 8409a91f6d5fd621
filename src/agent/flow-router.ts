/**
 * Routes a caller's datagram at an agent: delivers it, forwards it to the flow's host,
 * places a new flow, or forwards it to the owner of its bucket.
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

/** Receives the outcome of routing. */
export interface FlowSink {
  /** Delivers a datagram of a flow hosted here. */
  deliver(caller: Endpoint, flow: HostedFlow, payload: Buffer): void;
  /** Refuses a datagram whose flow no target can accept now. */
  refuse(caller: Endpoint, balancer: Endpoint, payload: Buffer): void;
}

interface ParkedFrame {
  readonly message: ForwardMessage;
  readonly parkedAt: number;
}

/** Routes forwarded datagrams among the agents of one service. */
export class FlowRouter {
  private parked: ParkedFrame[] = [];
  /** Recently placed flows: a notice that one has ended may have been sent before its placement. */
  private readonly placedAt = new Map<Endpoint, number>();

  constructor(
    private readonly context: AgentContext,
    private readonly membership: GroupMembership,
    private readonly directory: BucketDirectory,
    private readonly flows: FlowTable,
    private readonly contacts: BalancerContacts,
    private readonly sink: FlowSink,
  ) {}

  /** Handles a datagram that a balancer or another agent forwarded here. */
  receive(message: ForwardMessage): void {
    if (!this.isAddressedHere(message)) {
      return;
    }
    const flow = this.flows.get(message.caller);
    if (flow) {
      this.deliver(message, flow);
    } else if (this.context.hostsAnyFlow || this.wasPlacedHere(message)) {
      this.hostFlow(message);
    } else {
      this.route(message);
    }
  }

  /** Routes the parked frames again after buckets have become owned. */
  retryParked(): void {
    const { parked } = this;
    this.parked = [];
    parked.forEach(({ message }) => this.receive(message));
  }

  /** Removes the directory entries of flows that ended at a peer. */
  removeClosedFlows(peer: Peer, closed: Buffer): void {
    for (const caller of unpackCallers(closed)) {
      if (!this.placedAt.has(caller)) {
        this.directory.removeIfHost(this.context.getBucket(caller), caller, peer.target);
      }
    }
  }

  /** Removes placements for which no earlier notice can still arrive. */
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
   * A placement is valid unless its owner is dead in this agent's view, or this agent is
   * disconnected from its group, as after a freeze: the frame may then have been delayed,
   * and another agent may host the flow by now.
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

  private hostFlow(message: ForwardMessage): void {
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
      this.hostFlow(message);
    } else {
      this.forwardTo(host, message, this.context.settings.target);
    }
  }

  /** An entry that names this agent is stale here: the flow has ended. */
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

  /** Buffers a frame until a claim completes; refuses it after PARKED_FRAME_LIFETIME_MS. */
  private park(message: ForwardMessage): void {
    if (this.parked.length >= MAXIMUM_PARKED_FRAMES) {
      this.refuse(message);
      return;
    }
    // A placement that is invalid now must stay invalid: another agent may host the flow.
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
