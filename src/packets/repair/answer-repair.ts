/**
 * Repeats what a target sent to its clients and what was lost on the way, before the target's own
 * timer does.
 *
 * The agent sends the packets and sees the clients' acknowledgements come back, so it knows of a
 * loss within a round trip. It sends copies of what the target wrote, byte for byte, and never
 * acknowledges anything in a client's place: a target loses nothing of its own repeats. All of it
 * may be forgotten at any time; then the target's timer is what it was before.
 */
import type { Endpoint, Environment, TimerHandle } from '../../environment';
import { Events } from '../../logging/events';
import type { FlowKey, FlowPacket } from '../flow-packet';
import { AnswerFlow, type BufferedPacket } from './answer-flow';
import { AnswerTiming } from './answer-timing';
import { RepairBudget } from './repair-budget';
import { computeSequenceLength } from './sequence-numbers';

/** Bytes kept over all flows: a small part of what an agent's machine has at least (200 MB). */
const MAXIMUM_BUFFERED_BYTES = 8 * 1_024 * 1_024;
/** Flows known at once, with and without packets kept; less than a kilobyte each without. */
const MAXIMUM_FLOWS = 4_096;
/** Milliseconds between two looks at what is due, so that packets due together share a wake-up. */
const TIMER_GRANULARITY_MS = 5;
/** Milliseconds by which a timer may be late before acknowledgements not yet read come first. */
const TIMER_TOLERANCE_MS = 2 * TIMER_GRANULARITY_MS;
/** Milliseconds between two log lines that repeats are limited. */
const REPORT_INTERVAL_MS = 1_000;

/** Counters of answer repair. */
export interface AnswerRepairCounters {
  /** Packets repeated in a target's place. */
  answersRepeated: number;
  /** Of these, repeats of what the client had got already. */
  answersRepeatedNeedlessly: number;
  /** Packets of targets that a client acknowledged while they were kept. */
  answersAcknowledged: number;
  /** Repeats that the budget and packets that the room for copies did not allow. */
  answerRepairsWithheld: number;
}

/** Counters, and what is kept at present. */
export interface AnswerRepairFigures extends Readonly<AnswerRepairCounters> {
  /** Bytes of packets that clients have not acknowledged. */
  readonly answerBytesKept: number;
}

/** What answer repair works with. */
export interface AnswerRepairDependencies {
  readonly environment: Environment;
  /** Repeats nothing when it is off. */
  readonly isEnabled: boolean;
  /**
   * Milliseconds for which a flow may rest. A flow is known as long, since the packets of an answer
   * come in any order: only who knows where the answer before ended knows where one begins.
   */
  readonly flowLifetime: number;
  sendToClient(client: Endpoint, packet: Buffer): void;
}

/** Answer repair of one agent. */
export class AnswerRepair {
  private readonly counters: AnswerRepairCounters = {
    answersRepeated: 0,
    answersRepeatedNeedlessly: 0,
    answersAcknowledged: 0,
    answerRepairsWithheld: 0,
  };
  private readonly timing = new AnswerTiming();
  private readonly budget = new RepairBudget();
  /** In the order of their targets' latest packets. */
  private readonly flows = new Map<FlowKey, AnswerFlow>();
  /** Flows with packets kept. */
  private readonly pending = new Set<AnswerFlow>();
  private bufferedBytes = 0;
  private timer: TimerHandle | undefined;
  private timerAt = Infinity;
  /** Repeats and copies withheld since the last log line. */
  private withheldSinceReport = 0;
  private reportedAt = -Infinity;
  private isStopped = false;
  /** The present timer waits only until what came meanwhile has been read. */
  private isDeferred = false;

  constructor(private readonly dependencies: AnswerRepairDependencies) {}

  get figures(): AnswerRepairFigures {
    return { ...this.counters, answerBytesKept: this.bufferedBytes };
  }

  /**
   * A target's packet has been sent to its client.
   * @param packet its bytes are kept as they are, and must not be altered afterwards
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

  /** A client's packet has come here, whatever becomes of it. */
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

  /** The target does not hold a flow. */
  removeFlow(key: FlowKey): void {
    const flow = this.flows.get(key);
    if (flow) {
      this.applyChange(flow, () => flow.end());
      this.flows.delete(key);
    }
  }

  /** The target was replaced: nothing of the one before is repeated. */
  clear(): void {
    this.flows.clear();
    this.pending.clear();
    this.bufferedBytes = 0;
  }

  /** Ends it for good. */
  stop(): void {
    this.isStopped = true;
    this.timer?.cancel();
    this.clear();
  }

  private get isActive(): boolean {
    return this.dependencies.isEnabled && !this.isStopped;
  }

  /** A first copy begins another flow between the same ends: nothing of the one before is repeated. */
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
    const { acknowledgedCount: acknowledged, spuriousRetransmissions: needlessRepeats } =
      flow.handleAcknowledgement(packet, now);
    this.counters.answersAcknowledged += acknowledged;
    this.counters.answersRepeatedNeedlessly += needlessRepeats;
    if (packet.ends) {
      flow.end();
    }
  }

  /** The flow of a target's packet, the latest now; undefined when there is nothing to note. */
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

  /** Forgets flows that rest, and the one that rests longest when there is no room for another. */
  private evictFlows(now: number): void {
    const { flowLifetime } = this.dependencies;
    for (const [key, flow] of this.flows) {
      if (now - flow.usedAt <= flowLifetime && this.flows.size < MAXIMUM_FLOWS) {
        return;
      }
      this.removeFlow(key);
    }
  }

  /** Runs a change of one flow, and keeps what is counted over all flows. */
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

  /** One timer for all flows, at the earliest time at which one of them is due. */
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

  /** Counts what the bounds do not allow; tells it at most once a second. */
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
