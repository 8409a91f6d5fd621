/**
 * One flow's packets from its target to the client, from sending until they are acknowledged:
 * what was lost on the way, and when it is to be repeated.
 *
 * Pure: times come from the caller. Acknowledgements are cumulative and tell nothing of single
 * packets, so a gap is told by repeated equal ones (RFC 5681) that last longer than packets
 * overtake each other (RFC 8985), and a lost tail by a timeout (RFC 6298, RFC 8985 section 7).
 */
import type { Endpoint } from '../../environment';
import type { FlowPacket } from '../flow-packet';
import { LATEST_REPEAT, TARGET_TIMEOUT, type AnswerTiming } from './answer-timing';
import { endOf, measureDistance, measureSequenceLength } from './sequence-numbers';

/** Packets kept of a flow: as many as a sender has under way. */
const MAXIMUM_KEPT = 16;
/** Repeats of one packet: one for the loss, one for the loss of the repeat. */
const MAXIMUM_REPEATS = 2;

/** A packet that was sent to the client and is not acknowledged. */
export interface SentAnswer {
  /** The packet as the target wrote it; never altered. */
  readonly bytes: Buffer;
  readonly sequence: number;
  readonly end: number;
  readonly opens: boolean;
  readonly sentAt: number;
  repeats: number;
}

/** What a client's packet told. */
export interface AnswerProgress {
  /** Packets acknowledged by it. */
  readonly acknowledged: number;
  /** Repeats of them that came after the first had arrived. */
  readonly needlessRepeats: number;
}

/** How a flow stands: `targetRepeats` until what it repeats is acknowledged. */
type FlowPhase = 'repaired' | 'targetRepeats' | 'over';

const NO_PROGRESS: AnswerProgress = { acknowledged: 0, needlessRepeats: 0 };

/** The answers of one flow. */
export class AnswerFlow {
  /** Unacknowledged packets, oldest first. */
  private kept: SentAnswer[] = [];
  private phase: FlowPhase = 'repaired';
  /** All before it is acknowledged. */
  private acknowledgedUpTo: number;
  private sentUpTo: number;
  /** What was sent when a repeat was last necessary: until then further gaps are losses. */
  private recoveredAt: number;
  /** Time since which a gap has been known; undefined without one. */
  private gapSince: number | undefined;
  private progressAt = 0;
  private repeatedAt = 0;
  /** Probes since the last progress. */
  private probes = 0;
  private bytesKept = 0;
  readonly client: Endpoint;
  private readonly firstSequence: number;

  /**
   * @param first the first packet of the target that was seen
   * @param usedAt time of the target's latest packet
   */
  constructor(
    first: FlowPacket,
    private readonly timing: AnswerTiming,
    public usedAt: number,
  ) {
    this.client = first.client;
    this.firstSequence = first.sequence;
    this.acknowledgedUpTo = first.sequence;
    this.sentUpTo = first.sequence;
    this.recoveredAt = first.sequence;
  }

  /** Bytes of the packets kept. */
  get heldBytes(): number {
    return this.bytesKept;
  }

  /** Whether anything is kept that may have to be repeated. */
  get isPending(): boolean {
    return this.kept.length > 0;
  }

  /** Whether a packet of the target opens another flow between the same ends. */
  isReplacedBy(packet: FlowPacket): boolean {
    return packet.opens && packet.sequence !== this.firstSequence;
  }

  /**
   * The target's packet has been sent to the client.
   * @param mayKeep whether there is room to keep it
   */
  sent(packet: FlowPacket, mayKeep: boolean, now: number): void {
    this.usedAt = now;
    if (packet.resets) {
      this.end();
    } else if (this.phase !== 'over' && measureSequenceLength(packet) > 0) {
      this.noteNumbers(packet, mayKeep, now);
    }
  }

  private noteNumbers(packet: FlowPacket, mayKeep: boolean, now: number): void {
    if (measureDistance(this.sentUpTo, packet.sequence) < 0) {
      this.releaseToTarget();
      return;
    }
    this.sentUpTo = endOf(packet);
    if (this.phase === 'repaired' && mayKeep) {
      this.keep(packet, now);
    }
  }

  /** The target repeats by itself: what it sends now is what the client needs. */
  private releaseToTarget(): void {
    this.phase = 'targetRepeats';
    this.recoveredAt = this.sentUpTo;
    this.dropKept(this.kept.length);
  }

  private keep(packet: FlowPacket, now: number): void {
    const { bytes, sequence, opens } = packet;
    this.kept.push({ bytes, sequence, end: endOf(packet), opens, sentAt: now, repeats: 0 });
    this.bytesKept += bytes.length;
    if (this.kept.length > MAXIMUM_KEPT) {
      this.dropKept(1);
    }
  }

  /** One side has ended the flow or broken it off: nothing is repeated any more. */
  end(): void {
    this.phase = 'over';
    this.dropKept(this.kept.length);
  }

  /** A client's packet acknowledges what came before `packet.acknowledgement`. */
  acknowledged(packet: FlowPacket, now: number): AnswerProgress {
    const { acknowledgement } = packet;
    const advance = measureDistance(this.acknowledgedUpTo, acknowledgement);
    if (advance === 0 && isBare(packet)) {
      this.noteRepeatedAcknowledgement(now);
    }
    if (advance <= 0 || measureDistance(acknowledgement, this.sentUpTo) < 0) {
      return NO_PROGRESS;
    }
    this.acknowledgedUpTo = acknowledgement;
    this.progressAt = now;
    this.probes = 0;
    const progress = this.takeAcknowledged(now);
    if (this.phase !== 'over') {
      this.findNextGap(now);
    }
    return progress;
  }

  /** The receiver has something from behind the first unacknowledged packet. */
  private noteRepeatedAcknowledgement(now: number): void {
    const [first, next] = this.kept;
    if (!first || !next || first.repeats > 0 || first.sequence !== this.acknowledgedUpTo) {
      return;
    }
    const isOfNext = now - next.sentAt >= this.timing.reorderingWindow;
    if (this.gapSince === undefined && isOfNext) {
      this.gapSince = now;
    }
  }

  /** After a repeat, what is still missing of that time is lost as well (RFC 6582). */
  private findNextGap(now: number): void {
    const isRecovering = measureDistance(this.acknowledgedUpTo, this.recoveredAt) > 0;
    if (!isRecovering) {
      this.recoveredAt = this.acknowledgedUpTo;
      this.phase = 'repaired';
    }
    const [first] = this.kept;
    const isLost = isRecovering && first?.sequence === this.acknowledgedUpTo;
    this.gapSince = isLost && first.repeats === 0 ? now : undefined;
  }

  private takeAcknowledged(now: number): AnswerProgress {
    const covered = this.kept.filter(({ end }) => measureDistance(end, this.acknowledgedUpTo) >= 0);
    const last = covered.at(-1);
    if (!last) {
      return NO_PROGRESS;
    }
    const repeats = covered.reduce((sum, { repeats: more }) => sum + more, 0);
    const isNeedless = repeats > 0 && now - this.repeatedAt < this.timing.reorderingWindow;
    if (repeats === 0 || isNeedless) {
      this.timing.sample(covered.length > 1 ? 'prompt' : this.kindOf(last), now - last.sentAt);
    }
    this.dropKept(covered.length);
    return { acknowledged: covered.length, needlessRepeats: isNeedless ? repeats : 0 };
  }

  /** A single packet may wait for another one before it is acknowledged; an opening does not. */
  private kindOf(last: SentAnswer): 'prompt' | 'delayed' {
    return this.kept.length === 1 && !last.opens ? 'delayed' : 'prompt';
  }

  /** Time at which there is something to do; Infinity for never. */
  get dueAt(): number {
    const [first] = this.kept;
    if (!first) {
      return Infinity;
    }
    return Math.min(this.gapDueAt, this.probeDueAt, first.sentAt + TARGET_TIMEOUT);
  }

  /** Once packets cannot have overtaken each other, and the first has had time to be told of. */
  private get gapDueAt(): number {
    const [first] = this.kept;
    if (!first || this.gapSince === undefined) {
      return Infinity;
    }
    const { reorderingWindow, roundTrip } = this.timing;
    return Math.max(this.gapSince + reorderingWindow, first.sentAt + roundTrip);
  }

  private get probeDueAt(): number {
    const last = this.kept.at(-1);
    if (!last || this.probes >= MAXIMUM_REPEATS) {
      return Infinity;
    }
    const since = Math.max(last.sentAt, this.progressAt, this.repeatedAt);
    return since + this.timing.timeoutOf(this.kindOf(last)) * 2 ** this.probes;
  }

  /**
   * Takes the packet that is to be repeated now, and counts it as repeated.
   * @returns undefined when there is none
   */
  takeDue(now: number): SentAnswer | undefined {
    this.forgetOld(now);
    if (this.gapDueAt <= now) {
      this.gapSince = undefined;
      return this.repeat(this.kept[0], now);
    }
    if (this.probeDueAt <= now) {
      const isFirstProbe = this.probes === 0;
      this.probes++;
      return this.repeat(isFirstProbe ? this.kept.at(-1) : this.kept[0], now);
    }
    return undefined;
  }

  private repeat(packet: SentAnswer | undefined, now: number): SentAnswer | undefined {
    if (!packet || packet.repeats >= MAXIMUM_REPEATS || now - packet.sentAt > LATEST_REPEAT) {
      return undefined;
    }
    packet.repeats++;
    this.repeatedAt = now;
    this.recoveredAt = this.sentUpTo;
    return packet;
  }

  /** Drops what the target repeats by itself from now on. */
  private forgetOld(now: number): void {
    const old = this.kept.filter(({ sentAt }) => now - sentAt >= TARGET_TIMEOUT);
    this.dropKept(old.length);
  }

  private dropKept(count: number): void {
    for (const { bytes } of this.kept.splice(0, count)) {
      this.bytesKept -= bytes.length;
    }
    if (this.kept.length === 0) {
      this.gapSince = undefined;
    }
  }
}

/** Whether a packet carries nothing but its acknowledgement. */
function isBare({ opens, ends, resets, payloadLength }: FlowPacket): boolean {
  return !opens && !ends && !resets && payloadLength === 0;
}
