/**
 * Decides when a balancer handles the packets that it reads from its clients' socket.
 *
 * As long as it keeps up, each packet is handled as it is read. Under overload the socket's queue grows
 * until its packets are older than their clients wait. So once a turn of the event loop reads more than a
 * few packets, the others are queued here, where the order can be chosen, and while the socket has more to
 * read, reading goes before handling.
 */
import type { FlowPacket } from './flow-packet';
import { IngressQueue } from './ingress-queue';

/** Datagrams of one socket that the runtime reads in a turn: then there may be more. */
const FULL_READ_COUNT = 32;
/** Packets handled as they are read, in a turn after one that emptied the socket. */
const DIRECT_COUNT = 16;
/** Packets handled in a turn that has left more to read. */
const MINIMUM_HANDLED_COUNT = 2;
/** Time for queued packets in a turn that has emptied the socket, before it is read again. */
const SLICE_MS = 5;

/** Dependencies of the scheduler. */
export interface IngressSchedulerDependencies {
  now(): number;
  /** Decodes a client's packet; undefined when the bytes are not a valid packet. */
  decode(bytes: Buffer): FlowPacket | undefined;
  handle(bytes: Buffer): void;
  /** Whether packets are only buffered since the balancer has not started yet; none is queued then. */
  isStarting(): boolean;
  /** Calls an action once the turn of the event loop has read its sockets. */
  runAfterReads(action: () => void): void;
}

/** Scheduler of one balancer. */
export class IngressScheduler {
  private readonly queue = new IngressQueue();
  private readCount = 0;
  private wasReadFull = false;
  private isTurnScheduled = false;

  constructor(private readonly dependencies: IngressSchedulerDependencies) {}

  /** Packets queued. */
  get waiting(): number {
    return this.queue.size;
  }

  /** Packets dropped since they had waited too long or were too many. */
  get dropped(): number {
    return this.queue.dropped;
  }

  /** Handles a datagram that was read, or queues it. */
  receive(bytes: Buffer): void {
    const { decode, handle, isStarting, now } = this.dependencies;
    this.readCount++;
    this.scheduleTurn();
    const isDirect = !this.wasReadFull && this.readCount <= DIRECT_COUNT && this.queue.size === 0;
    const packet = isDirect || isStarting() ? undefined : decode(bytes);
    if (packet) {
      this.queue.add(packet, now());
    } else {
      handle(bytes);
    }
  }

  private scheduleTurn(): void {
    if (!this.isTurnScheduled) {
      this.isTurnScheduled = true;
      this.dependencies.runAfterReads(() => this.endTurn());
    }
  }

  private endTurn(): void {
    this.isTurnScheduled = false;
    this.wasReadFull = this.readCount >= FULL_READ_COUNT;
    this.readCount = 0;
    this.handleQueued();
    if (this.queue.size > 0) {
      this.scheduleTurn();
    }
  }

  private handleQueued(): void {
    const { handle, now } = this.dependencies;
    const end = now() + (this.wasReadFull ? 0 : SLICE_MS);
    for (let handled = 0; handled < MINIMUM_HANDLED_COUNT || now() < end; handled++) {
      const packet = this.queue.take(now());
      if (!packet) {
        return;
      }
      handle(packet.bytes);
    }
  }
}
