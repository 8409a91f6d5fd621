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
  REPAIR_VERSION,
  type HopNumber,
  type PacketMessage,
} from '../packet-messages';
import { RepairBudget } from './repair-budget';
import {
  isHopMessage,
  unpackNumbered,
  type PlainMessage,
  type RepairableMessage,
} from './hop-messages';
import { HopReceiver } from './hop-receiver';
import { HopSender, type OverdueOutcome } from './hop-sender';

/**
 * Milliseconds by which a timer may be late. One that is later follows a pause of this process,
 * in which acknowledgements may have come that are not read yet: they are read first.
 */
const TIMER_TOLERANCE = 5;
/** Milliseconds that reading them is given; a timer of a process without a backlog is no later. */
const READING_TIME = 1;
/** Milliseconds between two reports that repeats are limited. */
const REPORT_INTERVAL = 1_000;

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
  private overdueTimer: TimerHandle | undefined;
  /** Time for which that timer is set; Infinity while it is not. */
  private overdueAt = Infinity;
  /** Whether that timer only gives time for reading, after one that was late. */
  private isReading = false;
  private repeats = 0;
  private suppressed = 0;
  private duplicates = 0;
  private acknowledgements = 0;
  private reportedAt = -Infinity;

  constructor(private readonly dependencies: HopRepairDependencies) {
    this.sender = new HopSender(() => dependencies.environment.random());
  }

  get counters(): HopCounters {
    return {
      hopRepeats: this.repeats,
      hopRepeatsSuppressed: this.suppressed + this.sender.notKept,
      hopDuplicates: this.duplicates,
      hopAcknowledgements: this.acknowledgements,
    };
  }

  /** Smoothed round trip to a node in milliseconds; undefined before the first acknowledgement. */
  roundTripTo(peer: Endpoint): number | undefined {
    return this.sender.roundTripTo(peer);
  }

  /**
   * Sends a message with a client's packet: numbered if its loss matters and the node
   * acknowledges, without a number otherwise.
   */
  send(to: Endpoint, message: RepairableMessage, packet: FlowPacket): void {
    const { environment, isEnabled, link } = this.dependencies;
    if (!isEnabled || !link.repairsHops(to) || !isWorthRepeating(packet, message.searchId)) {
      link.send(to, message);
      return;
    }
    const now = environment.now();
    const timeout = this.sender.timeoutOf(to);
    this.budget.noteSent();
    link.send(to, this.sender.keep(to, message, now));
    this.setOverdueTimer(now + timeout);
  }

  /**
   * Takes a received message: a numbered one is acknowledged, each time that it comes.
   * @returns the message to act on, without its number; undefined when there is none
   */
  unpack(from: Endpoint, message: PacketMessage): PlainMessage | undefined {
    if (!isHopMessage(message)) {
      return message;
    }
    switch (message.type) {
      case PacketMessageType.received:
        this.sender.noteReceived(from, message, this.dependencies.environment.now());
        return undefined;
      case PacketMessageType.numberedDeliver:
      case PacketMessageType.numberedRefusal:
        return this.admit(from, message) ? unpackNumbered(message) : undefined;
    }
  }

  /** Drops what is too old to matter. */
  expire(now: number): void {
    this.sender.expire(now);
    this.receiver.expire(now);
  }

  /** Ends the timers. */
  stop(): void {
    this.overdueTimer?.cancel();
  }

  /**
   * Takes a number, and acknowledges it at once: numbers that gather for one acknowledgement need a
   * timer of their own each time, which wakes the process once more for every packet of a flow.
   * @returns whether the number comes for the first time
   */
  private admit(from: Endpoint, { session, sequence }: HopNumber): boolean {
    const { environment, link } = this.dependencies;
    link.noteRepairs(from, REPAIR_VERSION);
    this.acknowledgements++;
    link.send(from, { type: PacketMessageType.received, session, sequences: [sequence] });
    const isNew = this.receiver.admit(from, { session, sequence }, environment.now());
    this.duplicates += isNew ? 0 : 1;
    return isNew;
  }

  /** Makes sure that overdue messages are looked at no later than at a time. */
  private setOverdueTimer(dueAt: number): void {
    if (dueAt >= this.overdueAt) {
      return;
    }
    const { environment } = this.dependencies;
    this.overdueTimer?.cancel();
    this.overdueAt = dueAt;
    const delay = Math.max(0, dueAt - environment.now());
    this.overdueTimer = environment.startTimer(delay, () => this.takeOverdue());
  }

  private takeOverdue(): void {
    const now = this.dependencies.environment.now();
    const isLate = now - this.overdueAt > TIMER_TOLERANCE;
    this.overdueTimer = undefined;
    this.overdueAt = Infinity;
    // Once only: a process whose timers are all late would never repeat or give up anything.
    this.isReading = isLate && !this.isReading;
    if (this.isReading) {
      this.setOverdueTimer(now + READING_TIME);
      return;
    }
    this.repeat(this.findOverdue(now), now);
    const next = this.sender.nextDue;
    if (next !== undefined) {
      this.setOverdueTimer(next);
    }
  }

  private findOverdue(now: number): OverdueOutcome {
    const { link } = this.dependencies;
    return this.sender.takeOverdue(now, {
      isReachable: (peer) => link.repairsHops(peer) && this.dependencies.isReachable(peer, now),
      takeFromBudget: () => this.budget.take(now),
    });
  }

  private repeat({ repeats, silent, overBudget }: OverdueOutcome, now: number): void {
    this.repeats += repeats.length;
    this.suppressed += silent + overBudget;
    repeats.forEach(({ peer, message }) => this.dependencies.link.send(peer, message));
    if (overBudget > 0 && now - this.reportedAt >= REPORT_INTERVAL) {
      this.reportedAt = now;
      this.reportLimit(overBudget);
    }
  }

  private reportLimit(leftOut: number): void {
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
function isWorthRepeating(packet: FlowPacket, searchId: number): boolean {
  const carries = packet.payloadLength > 0 || packet.resets;
  return packet.opens || (carries && searchId === 0);
}
