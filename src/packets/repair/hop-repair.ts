/**
 * Retransmission between a balancer and an agent, the same on both sides: numbers messages whose
 * loss would delay the client by 200 ms, retransmits them until acknowledged, and drops duplicates
 * of the peer's numbered messages (docs/design/hop-repair.md).
 *
 * {@link HopSender} and {@link HopReceiver} hold the logic; this module adds the clock, the timer
 * and the link.
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
 * Lateness of a timer above which this process is taken to have paused. Acknowledgements that
 * arrived meanwhile may still be unread, so they are read before anything is retransmitted.
 */
const TIMER_TOLERANCE_MS = 5;
/** Time to read them; without a backlog, a timer fires no later than this. */
const READ_DELAY_MS = 1;
/** Minimum time between two log lines about limited retransmissions. */
const REPORT_INTERVAL_MS = 1_000;

/** Dependencies of {@link HopRepair}. */
export interface HopRepairDependencies {
  readonly environment: Environment;
  readonly link: PacketLink;
  /** Whether this node numbers its messages; those of peers are handled in any case. */
  readonly isEnabled: boolean;
  /** Whether a peer is believed to be reachable. */
  isReachable(peer: Endpoint, now: number): boolean;
}

/** Counters of hop repair. */
export interface HopCounters {
  /** Messages retransmitted. */
  readonly hopRepeats: number;
  /** Retransmissions suppressed: peer unresponsive, budget exhausted or buffer full. */
  readonly hopRepeatsSuppressed: number;
  /** Duplicates received, acknowledged again and dropped. */
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
  /** Time at which the timer fires; Infinity while it is not set. */
  private timerDueAt = Infinity;
  /** Whether the timer only gives time to read datagrams, after a late one. */
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

  /** Smoothed round trip to a peer in milliseconds; undefined before the first acknowledgement. */
  getRoundTrip(peer: Endpoint): number | undefined {
    return this.sender.getRoundTrip(peer);
  }

  /**
   * Sends a message with a client's packet: numbered if its loss would delay the client and the
   * peer supports hop repair, plain otherwise.
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
   * Handles a received message; a numbered one is acknowledged each time it is received.
   * @returns the plain message to process; undefined for a duplicate or an acknowledgement
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

  /** Drops the state of idle peers. */
  expire(now: number): void {
    this.sender.expire(now);
    this.receiver.expire(now);
  }

  /** Cancels the timer. */
  stop(): void {
    this.retransmissionTimer?.cancel();
  }

  /**
   * Records a number and acknowledges it at once: batching acknowledgements would need a timer,
   * which causes an additional wake-up for every packet of a flow.
   * @returns whether the number is received for the first time
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

  /** Ensures that the timer fires no later than at `dueAt`. */
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
    // Defers once only: a process whose timers are always late would never retransmit or time out.
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

  private retransmit({ retransmissions, silent, overBudget }: OverdueResult, now: number): void {
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
 * Whether the loss of a packet would delay its client. The loss of a pure acknowledgement does not,
 * as the next one covers it, nor that of a FIN, whose client already has its answer. A packet
 * offered while its flow is searched for is not numbered: the search has its own timeout and
 * continues elsewhere.
 */
function needsAcknowledgement(packet: FlowPacket, searchId: number): boolean {
  const hasContent = packet.payloadLength > 0 || packet.resets;
  return packet.opens || (hasContent && searchId === 0);
}
