/**
 * Repairs losses between a balancer and an agent, the same at both ends: numbers what a loss
 * would cost the client 200 ms, repeats it until it is acknowledged, and takes what the other
 * end has numbered once (docs/design/hop-repair.md).
 *
 * Decisions are those of {@link HopSender} and {@link HopReceiver}; here are the clock, the two
 * timers and the link.
 */
import type { Endpoint, Environment, TimerHandle } from '../../environment';
import { Events } from '../../logging/events';
import type { FlowPacket } from '../flow-packet';
import type { PacketLink } from '../packet-link';
import {
  PacketMessageType,
  HOP_REPAIR_VERSION,
  type HopNumber,
  type PacketMessage,
} from '../packet-messages';
import { RepairBudget } from './repair-budget';
import {
  isHopMessage,
  extractMessage,
  type PlainMessage,
  type RepairableMessage,
} from './hop-messages';
import { HopReceiver } from './hop-receiver';
import { HopSender, type OverdueResult } from './hop-sender';

/**
 * Milliseconds by which a timer may be late. One that is later follows a pause of this process,
 * in which acknowledgements may have come that are not read yet: they are read first.
 */
const TIMER_TOLERANCE_MS = 5;
/** Milliseconds that reading them is given; a timer of a process without a backlog is no later. */
const READ_DELAY_MS = 1;
/** Milliseconds between two reports that repeats are limited. */
const REPORT_INTERVAL_MS = 1_000;

/** What hop repair works with. */
export interface HopRepairDependencies {
  readonly environment: Environment;
  readonly link: PacketLink;
  /** Whether messages are numbered here; those of others are taken in any case. */
  readonly isEnabled: boolean;
  /** Whether a node can be reached, as far as is known. */
  isReachable(peer: Endpoint, now: number): boolean;
}

/** Counters of hop repair. */
export interface HopCounters {
  /** Messages sent once more. */
  readonly hopRepeats: number;
  /** Repeats left out: the node was silent, the budget spent, or too many messages kept. */
  readonly hopRepeatsSuppressed: number;
  /** Messages that came again, and were acknowledged again and dropped. */
  readonly hopDuplicates: number;
  /** Acknowledgements sent. */
  readonly hopAcknowledgements: number;
}

/** Hop repair of one node. */
export class HopRepair {
  private readonly sender: HopSender;
  private readonly receiver = new HopReceiver();
  private readonly budget = new RepairBudget();
  private retransmissionTimer: TimerHandle | undefined;
  /** Time for which that timer is set; Infinity while it is not. */
  private timerDueAt = Infinity;
  /** Whether that timer only gives time for reading, after one that was late. */
  private isDeferred = false;
  private retransmissionCount = 0;
  private suppressedCount = 0;
  private duplicateCount = 0;
  private acknowledgementCount = 0;
  private reportedAt = -Infinity;

  constructor(private readonly dependencies: HopRepairDependencies) {
    this.sender = new HopSender(() => dependencies.environment.random());
  }

  get counters(): HopCounters {
    return {
      hopRepeats: this.retransmissionCount,
      hopRepeatsSuppressed: this.suppressedCount + this.sender.unbufferedMessages,
      hopDuplicates: this.duplicateCount,
      hopAcknowledgements: this.acknowledgementCount,
    };
  }

  /** Smoothed round trip to a node in milliseconds; undefined before the first acknowledgement. */
  getRoundTrip(peer: Endpoint): number | undefined {
    return this.sender.getRoundTrip(peer);
  }

  /**
   * Sends a message with a client's packet: numbered if its loss matters and the node
   * acknowledges, without a number otherwise.
   */
  send(to: Endpoint, message: RepairableMessage, packet: FlowPacket): void {
    const { environment, isEnabled, link } = this.dependencies;
    if (
      !isEnabled ||
      !link.supportsHopRepair(to) ||
      !needsAcknowledgement(packet, message.searchId)
    ) {
      link.send(to, message);
      return;
    }
    const now = environment.now();
    const timeout = this.sender.getTimeout(to);
    this.budget.recordMessage();
    link.send(to, this.sender.prepareMessage(to, message, now));
    this.startTimer(now + timeout);
  }

  /**
   * Takes a received message: a numbered one is acknowledged, each time that it comes.
   * @returns the message to act on, without its number; undefined when there is none
   */
  receive(from: Endpoint, message: PacketMessage): PlainMessage | undefined {
    if (!isHopMessage(message)) {
      return message;
    }
    switch (message.type) {
      case PacketMessageType.received:
        this.sender.handleAcknowledgement(from, message, this.dependencies.environment.now());
        return undefined;
      case PacketMessageType.numberedDeliver:
      case PacketMessageType.numberedRefusal:
        return this.acknowledge(from, message) ? extractMessage(message) : undefined;
    }
  }

  /** Drops what is too old to matter. */
  expire(now: number): void {
    this.sender.expire(now);
    this.receiver.expire(now);
  }

  /** Ends the timers. */
  stop(): void {
    this.retransmissionTimer?.cancel();
  }

  /**
   * Takes a number, and acknowledges it at once: numbers that gather for one acknowledgement need a
   * timer of their own each time, which wakes the process once more for every packet of a flow.
   * @returns whether the number comes for the first time
   */
  private acknowledge(from: Endpoint, { session, sequence }: HopNumber): boolean {
    const { environment, link } = this.dependencies;
    link.recordHopRepair(from, HOP_REPAIR_VERSION);
    this.acknowledgementCount++;
    link.send(from, { type: PacketMessageType.received, session, sequences: [sequence] });
    const isNew = this.receiver.recordReceived(from, { session, sequence }, environment.now());
    this.duplicateCount += isNew ? 0 : 1;
    return isNew;
  }

  /** Makes sure that overdue messages are looked at no later than at a time. */
  private startTimer(dueAt: number): void {
    if (dueAt >= this.timerDueAt) {
      return;
    }
    const { environment } = this.dependencies;
    this.retransmissionTimer?.cancel();
    this.timerDueAt = dueAt;
    const delay = Math.max(0, dueAt - environment.now());
    this.retransmissionTimer = environment.startTimer(delay, () => this.handleTimer());
  }

  private handleTimer(): void {
    const now = this.dependencies.environment.now();
    const isLate = now - this.timerDueAt > TIMER_TOLERANCE_MS;
    this.retransmissionTimer = undefined;
    this.timerDueAt = Infinity;
    // Once only: a process whose timers are all late would never repeat or give up anything.
    this.isDeferred = isLate && !this.isDeferred;
    if (this.isDeferred) {
      this.startTimer(now + READ_DELAY_MS);
      return;
    }
    this.retransmit(this.takeOverdue(now), now);
    const next = this.sender.nextDueAt;
    if (next !== undefined) {
      this.startTimer(next);
    }
  }

  private takeOverdue(now: number): OverdueResult {
    const { link } = this.dependencies;
    return this.sender.takeOverdue(now, {
      isReachable: (peer) =>
        link.supportsHopRepair(peer) && this.dependencies.isReachable(peer, now),
      takeToken: () => this.budget.takeToken(now),
    });
  }

  private retransmit(
    { retransmissions: retransmissions, silent, overBudget }: OverdueResult,
    now: number,
  ): void {
    this.retransmissionCount += retransmissions.length;
    this.suppressedCount += silent + overBudget;
    retransmissions.forEach(({ peer, message }) => this.dependencies.link.send(peer, message));
    if (overBudget > 0 && now - this.reportedAt >= REPORT_INTERVAL_MS) {
      this.reportedAt = now;
      this.reportLimited(overBudget);
    }
  }

  private reportLimited(leftOut: number): void {
    this.dependencies.environment.report(Events.hopRepairsLimited, {
      leftOut,
      kept: this.sender.size,
      ...this.counters,
    });
  }
}

/**
 * Whether the loss of a packet costs its client a wait. A pure acknowledgement does not, the next
 * one covers it, nor does the end of a flow, whose client has its answer. Nor is a packet numbered that is offered while its flow is searched for: the
 * search has a timeout of its own, and goes on elsewhere.
 */
function needsAcknowledgement(packet: FlowPacket, searchId: number): boolean {
  const hasContent = packet.payloadLength > 0 || packet.resets;
  return packet.opens || (hasContent && searchId === 0);
}
