/**
 * Retransmits packets from a target to its clients that were lost, before the target's own
 * retransmission timer fires.
 *
 * The agent forwards the packets and sees the clients' acknowledgements, so it detects a loss
 * within a round trip. It sends byte-for-byte copies and never acknowledges on a client's behalf,
 * so the target's own retransmission keeps working. The state can be discarded at any time; the
 * target's timer then recovers the loss as it would without this module.
 */
import type { Endpoint, Environment, TimerHandle } from '../../environment';
import { Events } from '../../logging/events';
import type { FlowKey, FlowPacket } from '../flow-packet';
import { AnswerFlow, type BufferedPacket } from './answer-flow';
import { AnswerTiming } from './answer-timing';
import { RepairBudget } from './repair-budget';
import { computeSequenceLength } from './sequence-numbers';

/** Bytes buffered over all flows: a small part of the smallest agent machine's memory (200 MB). */
const MAXIMUM_BUFFERED_BYTES = 8 * 1_024 * 1_024;
/** Flows tracked at once, with or without buffered packets; under 1 KB each without. */
const MAXIMUM_FLOWS = 4_096;
/** Minimum timer delay, so that packets due at about the same time share one wake-up. */
const TIMER_GRANULARITY_MS = 5;
/** Lateness of a timer above which unread acknowledgements are processed before retransmitting. */
const TIMER_TOLERANCE_MS = 2 * TIMER_GRANULARITY_MS;
/** Minimum time between two log lines about limited retransmissions. */
const REPORT_INTERVAL_MS = 1_000;

/** Counters of answer repair. */
export interface AnswerRepairCounters {
  /** Packets retransmitted on behalf of a target. */
  answersRepeated: number;
  /** Of these, spurious ones: the client had already received the packet. */
  answersRepeatedNeedlessly: number;
  /** Packets that a client acknowledged while they were buffered. */
  answersAcknowledged: number;
  /** Retransmissions beyond the budget, and packets not buffered for lack of space. */
  answerRepairsWithheld: number;
}

/** Counters, and the current buffer size. */
export interface AnswerRepairFigures extends Readonly<AnswerRepairCounters> {
  /** Bytes of buffered packets that clients have not acknowledged. */
  readonly answerBytesKept: number;
}

/** Dependencies of {@link AnswerRepair}. */
export interface AnswerRepairDependencies {
  readonly environment: Environment;
  /** When false, nothing is buffered or retransmitted. */
  readonly isEnabled: boolean;
  /**
   * Milliseconds for which a flow may be idle; its state is retained as long. The packets of an
   * answer arrive in any order, so its start is known only from the end of the previous answer.
   */
  readonly flowLifetime: number;
  sendToClient(client: Endpoint, packet: Buffer): void;
}

/** Retransmits lost answer packets of one agent's target. */
export class AnswerRepair {
  private readonly counters: AnswerRepairCounters = {
    answersRepeated: 0,
    answersRepeatedNeedlessly: 0,
    answersAcknowledged: 0,
    answerRepairsWithheld: 0,
  };
  private readonly timing = new AnswerTiming();
  private readonly budget = new RepairBudget();
  /** Ordered by the time of the target's latest packet. */
  private readonly flows = new Map<FlowKey, AnswerFlow>();
  /** Flows with buffered packets. */
  private readonly pending = new Set<AnswerFlow>();
  private bufferedBytes = 0;
  private timer: TimerHandle | undefined;
  private timerAt = Infinity;
  /** Retransmissions suppressed and packets not buffered since the last log line. */
  private withheldSinceReport = 0;
  private reportedAt = -Infinity;
  private isStopped = false;
  /** Whether the current timer only gives time to read datagrams that arrived during a pause. */
  private isDeferred = false;

  constructor(private readonly dependencies: AnswerRepairDependencies) {}

  get figures(): AnswerRepairFigures {
    return { ...this.counters, answerBytesKept: this.bufferedBytes };
  }

  /**
   * Records a target's packet that has been sent to its client.
   * @param packet its bytes are buffered without copying and must not be altered afterwards
   */
  recordSent(packet: FlowPacket): void {
    const now = this.dependencies.environment.now();
    const flow = this.isActive ? this.getOrCreateFlow(packet, now) : undefined;
    if (!flow) {
      return;
    }
    this.budget.recordMessage();
    const mayBuffer = this.bufferedBytes + packet.bytes.length <= MAXIMUM_BUFFERED_BYTES;
    if (!mayBuffer) {
      this.recordWithheld(now);
    }
    this.applyChange(flow, () => flow.recordSent(packet, mayBuffer, now));
    this.startTimer(flow.dueAt, now);
  }

  /** Handles a client's packet, whether or not it is delivered to the target. */
  handleClientPacket(packet: FlowPacket): void {
    if (packet.opens) {
      this.handleOpening(packet);
      return;
    }
    const flow = this.flows.get(packet.flow);
    if (!flow) {
      return;
    }
    const now = this.dependencies.environment.now();
    this.applyChange(flow, () => this.handleAcknowledgement(flow, packet, now));
    this.startTimer(flow.dueAt, now);
  }

  /** Discards the state of a flow that the target does not hold. */
  removeFlow(key: FlowKey): void {
    const flow = this.flows.get(key);
    if (flow) {
      this.applyChange(flow, () => flow.end());
      this.flows.delete(key);
    }
  }

  /** Discards all state, after the target was replaced. */
  clear(): void {
    this.flows.clear();
    this.pending.clear();
    this.bufferedBytes = 0;
  }

  /** Stops permanently. */
  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
    this.clear();
  }

  private get isActive(): boolean {
    return this.dependencies.isEnabled && !this.isStopped;
  }

  /** An original SYN starts another flow between the same endpoints, so the old state is dropped. */
  private handleOpening(packet: FlowPacket): void {
    if (packet.openingCopy === 0) {
      this.removeFlow(packet.flow);
    }
  }

  private handleAcknowledgement(flow: AnswerFlow, packet: FlowPacket, now: number): void {
    if (packet.resets) {
      flow.end();
      return;
    }
    const { acknowledgedCount, spuriousRetransmissions } = flow.handleAcknowledgement(packet, now);
    this.counters.answersAcknowledged += acknowledgedCount;
    this.counters.answersRepeatedNeedlessly += spuriousRetransmissions;
    if (packet.ends) {
      flow.end();
    }
  }

  /** The flow of a target's packet, moved to the end of the order; undefined if not tracked. */
  private getOrCreateFlow(packet: FlowPacket, now: number): AnswerFlow | undefined {
    const known = this.flows.get(packet.flow);
    if (known && !known.isReplacedBy(packet)) {
      this.flows.delete(packet.flow);
      this.flows.set(packet.flow, known);
      return known;
    }
    this.removeFlow(packet.flow);
    if (packet.resets || computeSequenceLength(packet) === 0) {
      return undefined;
    }
    this.evictFlows(now);
    const flow = new AnswerFlow(packet, this.timing, now);
    this.flows.set(packet.flow, flow);
    return flow;
  }

  /** Removes idle flows, and the flow idle for longest when there is no room for another. */
  private evictFlows(now: number): void {
    const { flowLifetime } = this.dependencies;
    for (const [key, flow] of this.flows) {
      if (now - flow.usedAt <= flowLifetime && this.flows.size < MAXIMUM_FLOWS) {
        return;
      }
      this.removeFlow(key);
    }
  }

  /** Applies a change to one flow and updates the totals over all flows. */
  private applyChange(flow: AnswerFlow, action: () => void): void {
    this.bufferedBytes -= flow.bufferedBytes;
    action();
    this.bufferedBytes += flow.bufferedBytes;
    if (flow.isPending) {
      this.pending.add(flow);
    } else {
      this.pending.delete(flow);
    }
  }

  /** Sets the single timer of all flows to the earliest time at which one is due. */
  private startTimer(dueAt: number, now: number): void {
    if (dueAt === Infinity || dueAt > this.timerAt - TIMER_GRANULARITY_MS) {
      return;
    }
    this.timer?.cancel();
    const delay = Math.max(TIMER_GRANULARITY_MS, Math.ceil(dueAt - now));
    this.timerAt = now + delay;
    this.timer = this.dependencies.environment.startTimer(delay, () => this.handleTimer());
  }

  private handleTimer(): void {
    const now = this.dependencies.environment.now();
    const isLate = now - this.timerAt > TIMER_TOLERANCE_MS;
    this.timerAt = Infinity;
    this.isDeferred = isLate && !this.isDeferred;
    if (this.isDeferred) {
      this.startTimer(now, now);
      return;
    }
    for (const flow of this.pending) {
      this.retransmitDue(flow, now);
    }
    this.startTimer(this.findDueAt(), now);
  }

  private findDueAt(): number {
    let dueAt = Infinity;
    for (const flow of this.pending) {
      dueAt = Math.min(dueAt, flow.dueAt);
    }
    return dueAt;
  }

  private retransmitDue(flow: AnswerFlow, now: number): void {
    if (flow.dueAt > now) {
      return;
    }
    this.applyChange(flow, () => {
      const packet = flow.takeDuePacket(now);
      if (packet) {
        this.retransmit(flow, packet, now);
      }
    });
  }

  private retransmit(flow: AnswerFlow, packet: BufferedPacket, now: number): void {
    if (!this.budget.takeToken(now)) {
      this.recordWithheld(now);
      return;
    }
    flow.recordRetransmission(packet, now);
    this.counters.answersRepeated++;
    this.dependencies.sendToClient(flow.client, packet.bytes);
  }

  /** Counts what the limits did not allow; logs it at most once a second. */
  private recordWithheld(now: number): void {
    this.counters.answerRepairsWithheld++;
    this.withheldSinceReport++;
    if (now - this.reportedAt >= REPORT_INTERVAL_MS) {
      this.dependencies.environment.report(Events.answerRepairsLimited, {
        withheld: this.withheldSinceReport,
        bytesKept: this.bufferedBytes,
        flows: this.pending.size,
      });
      this.reportedAt = now;
      this.withheldSinceReport = 0;
    }
  }
}
