/**
 * Packets of flows whose holder is being searched for: they wait for the outcome, which the
 * first packet of each flow brings about, and begin another search when none comes in time.
 */
import type { FlowKey, FlowPacket } from './flow-packet';
import type { Route } from './routing-table';

/** Packets of one flow that wait for its answer; the client repeats the others. */
const MAXIMUM_PER_FLOW = 16;
const MAXIMUM_FLOWS = 4_096;

const SHORTEST_TIMEOUT = 40;
const LONGEST_TIMEOUT = 400;
/** Milliseconds that a whole processor needs to send and to read the outcome, with much to spare. */
const ASKING_TIME = 20;

/**
 * Milliseconds for each agent of a search, which visits it twice: sending across zones, and an
 * agent's turn while it handles others.
 */
const AGENT_TIME = 4;

/** Milliseconds in which a search has its outcome, for a balancer with so many processors. */
export function locateTimeout(capacity: number): number {
  return Math.min(LONGEST_TIMEOUT, Math.max(SHORTEST_TIMEOUT, ASKING_TIME / capacity));
}

/** A packet that waits for its flow's holder. */
export interface WaitingPacket {
  readonly packet: FlowPacket;
  readonly route: Route;
  /** A search for which it has waited had no outcome: it begins no other one. */
  readonly hasWaited?: boolean;
}

interface Question {
  dueAt: number;
  /** A packet that begins another search by itself, as it has not been offered to anybody. */
  retry: WaitingPacket | undefined;
  readonly waiting: WaitingPacket[];
}

/** Searches under way, by flow, oldest first. */
export class FlowLocator {
  private readonly questions = new Map<FlowKey, Question>();

  /** @param timeout milliseconds that a search has for its outcome at least */
  constructor(private readonly timeout: number) {}

  get size(): number {
    return this.questions.size;
  }

  /** Whether the holder of a flow is being searched for. */
  isAsked(flow: FlowKey): boolean {
    return this.questions.has(flow);
  }

  /**
   * A search for the holder of a flow begins, or goes on through other agents; further packets
   * are to wait, up to a bound.
   * @param agents number of agents that it goes through
   * @param unanswered searches before it that have had no outcome: each doubles the time that it has
   */
  ask(flow: FlowKey, agents: number, now: number, unanswered = 0): void {
    const shortest = Math.max(this.timeout, agents * AGENT_TIME);
    const doubled = Math.min(LONGEST_TIMEOUT, shortest * 2 ** unanswered);
    const dueAt = now + Math.max(shortest, doubled);
    const known = this.questions.get(flow);
    if (known) {
      known.dueAt = dueAt;
      known.retry = undefined;
    } else if (this.questions.size < MAXIMUM_FLOWS) {
      this.questions.set(flow, { dueAt, retry: undefined, waiting: [] });
    }
  }

  /** Keeps the packet that a flow is searched for with, until the next search for it begins. */
  keepForRetry(packet: WaitingPacket): void {
    const question = this.questions.get(packet.packet.flow);
    if (question) {
      question.retry = packet;
    }
  }

  /** Keeps another packet of a flow that is searched for. */
  wait(waiting: WaitingPacket): void {
    const question = this.questions.get(waiting.packet.flow);
    if (question && question.waiting.length < MAXIMUM_PER_FLOW) {
      question.waiting.push(waiting);
    }
  }

  /** The holder is known, or need not be: takes out what waits for it. */
  take(flow: FlowKey): readonly WaitingPacket[] {
    const question = this.questions.get(flow);
    this.questions.delete(flow);
    return question?.waiting ?? [];
  }

  /** Takes out what has waited too long for the outcome. */
  takeOverdue(now: number): WaitingPacket[] {
    const overdue: WaitingPacket[] = [];
    for (const [flow, { dueAt, retry, waiting }] of this.questions) {
      if (now >= dueAt) {
        this.questions.delete(flow);
        overdue.push(...(retry ? [retry] : []), ...waiting);
      }
    }
    return overdue;
  }
}
