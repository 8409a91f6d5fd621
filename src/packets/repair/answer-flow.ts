/**
 * One flow's packets from its target to the client, from sending until they are acknowledged:
 * what was lost on the way, and when it is to be repeated.
 *
 * Pure: times come from the caller. Acknowledgements are cumulative and tell nothing of single
 * packets, so a gap is told by repeated equal ones (RFC 5681) that last longer than packets
 * overtake each other (RFC 8985), and a lost tail by a timeout (RFC 6298, RFC 8985 section 7).
 * Packets overtake each other on the way from the target too: their order here means nothing.
 */
import type { Endpoint } from '../../environment';
import type { FlowPacket } from '../flow-packet';
import { LATEST_REPEAT, TARGET_TIMEOUT, type AnswerTiming } from './answer-timing';
import { endOf, measureDistance, measureSequenceLength } from './sequence-numbers';

/** Packets kept of a flow: as many as a sender has under way. */
const MAXIMUM_KEPT = 16;
/** Repeats of one packet: one for the loss, one for the loss of the repeat. */
const MAXIMUM_REPEATS = 2;
/**
 * Repeats of an answer to an opening: its client may have gone on with another target that got a
 * copy of the opening, of which this agent sees nothing.
 */
const MAXIMUM_OPENING_REPEATS = 1;
/** Sequence numbers known as sent; a sender has 16 packets under way, some may be unaccounted. */
const MAXIMUM_SENT = 64;

/** A packet that was sent to the client and is not acknowledged. */
export interface SentAnswer {
  /** The packet as the target wrote it; never altered. */
  readonly bytes: Buffer;
  readonly sequence: number;
  readonly end: number;
  readonly opens: boolean;
  /** Time at which the target sent it last. */
  sentAt: number;
  /** Repeats from here. */
  repeats: number;
  /** Its target has repeated it. */
  isRepeatedByTarget: boolean;
}

/** What a client's packet told. */
export interface AnswerProgress {
  /** Packets acknowledged by it. */
  readonly acknowledged: number;
  /** Repeats of them that came after the first had arrived. */
  readonly needlessRepeats: number;
}

/** How a flow stands: `targetRepeats` after its target's timer, until that is acknowledged. */
type FlowPhase = 'repaired' | 'targetRepeats' | 'over';

const NO_PROGRESS: AnswerProgress = { acknowledged: 0, needlessRepeats: 0 };

/** The answers of one flow. */
export class AnswerFlow {
  /** Unacknowledged packets, by sequence number. */
  private kept: SentAnswer[] = [];
  /** Sequence numbers of packets sent and not acknowledged, kept or not. */
  private readonly sentNumbers = new Set<number>();
  private phase: FlowPhase = 'repaired';
  /** All before it is acknowledged. */
  private acknowledgedUpTo: number;
  private sentUpTo: number;
  /** What was sent when a gap or a loss was last known; all before it must come to close it. */
  private recoveredAt: number;
  /** Time since which a gap has been known; undefined without one. */
  private gapSince: number | undefined;
  private lastSentAt = 0;
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
    if (this.isRepeated(packet)) {
      this.noteTargetRepeat(packet, now);
      return;
    }
    this.noteNumber(packet.sequence);
    const end = endOf(packet);
    this.sentUpTo = measureDistance(this.sentUpTo, end) > 0 ? end : this.sentUpTo;
    if (this.phase === 'repaired' && mayKeep) {
      this.keep(packet, now);
    }
  }

  /** Whether the target has sent these numbers before. */
  private isRepeated({ sequence }: FlowPacket): boolean {
    const isOld = measureDistance(this.acknowledgedUpTo, sequence) < 0;
    return isOld || this.sentNumbers.has(sequence);
  }

  private noteNumber(sequence: number): void {
    this.sentNumbers.add(sequence);
    if (this.sentNumbers.size > MAXIMUM_SENT) {
      const [oldest] = this.sentNumbers;
      this.sentNumbers.delete(oldest!);
    }
  }

  /**
   * The target's own repeat takes the place of one from here. After repeated acknowledgements it
   * is one packet, and the rest is still looked after; after its timer all is up to the target.
   */
  private noteTargetRepeat({ sequence }: FlowPacket, now: number): void {
    const packet = this.kept.find((one) => one.sequence === sequence);
    if (packet && now - packet.sentAt < LATEST_REPEAT) {
      packet.sentAt = now;
      packet.isRepeatedByTarget = true;
      this.lastSentAt = now;
      this.repeatedAt = now;
      this.gapSince = undefined;
    } else if (measureDistance(this.acknowledgedUpTo, sequence) >= 0) {
      this.phase = 'targetRepeats';
      this.recoveredAt = this.sentUpTo;
      this.dropKept(() => true);
    }
  }

  private keep(packet: FlowPacket, now: number): void {
    const { bytes, sequence, opens } = packet;
    const next = this.kept.findIndex((one) => measureDistance(sequence, one.sequence) > 0);
    const place = next < 0 ? this.kept.length : next;
    this.kept.splice(place, 0, {
      bytes,
      sequence,
      end: endOf(packet),
      opens,
      sentAt: now,
      repeats: 0,
      isRepeatedByTarget: false,
    });
    this.lastSentAt = now;
    this.bytesKept += bytes.length;
    if (this.kept.length > MAXIMUM_KEPT) {
      const [first] = this.kept;
      this.dropKept((one) => one === first);
    }
  }

  /** One side has ended the flow or broken it off: nothing is repeated any more. */
  end(): void {
    this.phase = 'over';
    this.dropKept(() => true);
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
    if (this.kept.length > 1 && this.isFirstMissing) {
      this.gapSince ??= now;
      this.recoveredAt = this.sentUpTo;
    }
  }

  /** Whether the first packet is kept that the receiver lacks, and nobody has repeated it. */
  private get isFirstMissing(): boolean {
    const [first] = this.kept;
    const isMissing = first?.sequence === this.acknowledgedUpTo;
    return isMissing && first.repeats === 0 && !first.isRepeatedByTarget;
  }

  /** Whether something from behind the first missing packet has come, or may have been lost. */
  private get isRecovering(): boolean {
    return measureDistance(this.acknowledgedUpTo, this.recoveredAt) > 0;
  }

  /** What is still missing of the time of a gap or a repeat is another gap (RFC 6582). */
  private findNextGap(now: number): void {
    const { isRecovering } = this;
    if (!isRecovering) {
      this.recoveredAt = this.acknowledgedUpTo;
      this.phase = 'repaired';
    }
    this.gapSince = isRecovering && this.isFirstMissing ? now : undefined;
  }

  private takeAcknowledged(now: number): AnswerProgress {
    this.forgetNumbers();
    const covered = this.takeCovered();
    const last = covered.at(-1);
    if (!last) {
      return NO_PROGRESS;
    }
    const repeats = covered.reduce((sum, { repeats: more }) => sum + more, 0);
    const isAmbiguous = repeats > 0 || covered.some((one) => one.isRepeatedByTarget);
    const isNeedless = repeats > 0 && now - this.repeatedAt < this.timing.reorderingWindow;
    if (!isAmbiguous || isNeedless) {
      const isAlone = covered.length === 1 && this.kept.length === 0 && !last.opens;
      this.timing.sample(isAlone ? 'delayed' : 'prompt', now - last.sentAt);
    }
    return { acknowledged: covered.length, needlessRepeats: isNeedless ? repeats : 0 };
  }

  /** Takes out what is acknowledged: the first of the packets kept. */
  private takeCovered(): SentAnswer[] {
    const open = this.kept.findIndex(({ end }) => measureDistance(end, this.acknowledgedUpTo) < 0);
    const covered = this.kept.splice(0, open < 0 ? this.kept.length : open);
    covered.forEach(({ bytes }) => (this.bytesKept -= bytes.length));
    return covered;
  }

  private forgetNumbers(): void {
    for (const sequence of this.sentNumbers) {
      if (measureDistance(this.acknowledgedUpTo, sequence) < 0) {
        this.sentNumbers.delete(sequence);
      }
    }
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
    return Math.min(this.gapDueAt, this.probeDueAt, this.forgetAt);
  }

  /** Time at which the oldest copy is dropped: its target repeats it by itself then. */
  private get forgetAt(): number {
    const sentAt = this.kept.reduce((oldest, one) => Math.min(oldest, one.sentAt), Infinity);
    return sentAt + TARGET_TIMEOUT;
  }

  /** Once packets cannot have overtaken each other, and the first has had its time. */
  private get gapDueAt(): number {
    const [first] = this.kept;
    if (!first || this.gapSince === undefined) {
      return Infinity;
    }
    const timeout = this.timing.timeoutOf('prompt');
    return Math.max(this.gapSince + this.timing.reorderingWindow, first.sentAt + timeout);
  }

  private get probeDueAt(): number {
    const last = this.kept.at(-1);
    if (!last || this.probes >= MAXIMUM_REPEATS) {
      return Infinity;
    }
    const heardAt = Math.max(this.progressAt, this.gapSince ?? 0);
    const since = Math.max(this.lastSentAt, heardAt, this.repeatedAt);
    return since + this.timing.timeoutOf(this.kindOf(last)) * 2 ** this.probes;
  }

  /**
   * Takes the packet that is to be repeated now; it counts as repeated by {@link noteRepeat} only.
   * @returns undefined when there is none
   */
  takeDue(now: number): SentAnswer | undefined {
    this.forgetOld(now);
    if (this.gapDueAt <= now) {
      this.gapSince = undefined;
      return findRepeatable(this.kept[0], now);
    }
    if (this.probeDueAt <= now) {
      this.probes++;
      return findRepeatable(this.isRecovering ? this.kept[0] : this.kept.at(-1), now);
    }
    return undefined;
  }

  /** A packet that {@link takeDue} gave has been repeated; one that was withheld has not. */
  noteRepeat(packet: SentAnswer, now: number): void {
    packet.repeats++;
    this.repeatedAt = now;
    this.recoveredAt = this.sentUpTo;
  }

  /** Drops what the target repeats by itself from now on. */
  private forgetOld(now: number): void {
    this.dropKept(({ sentAt }) => now - sentAt >= TARGET_TIMEOUT);
  }

  private dropKept(isDropped: (answer: SentAnswer) => boolean): void {
    this.kept = this.kept.filter((answer) => !isDropped(answer));
    this.bytesKept = this.kept.reduce((sum, { bytes }) => sum + bytes.length, 0);
    if (this.kept.length === 0) {
      this.gapSince = undefined;
    }
  }
}

/** Whether a packet carries nothing but its acknowledgement. */
function isBare({ opens, ends, resets, payloadLength }: FlowPacket): boolean {
  return !opens && !ends && !resets && payloadLength === 0;
}

/** The packet if it may be repeated once more, and its target is not about to do so. */
function findRepeatable(packet: SentAnswer | undefined, now: number): SentAnswer | undefined {
  if (!packet || now - packet.sentAt > LATEST_REPEAT) {
    return undefined;
  }
  const maximum = packet.opens ? MAXIMUM_OPENING_REPEATS : MAXIMUM_REPEATS;
  return packet.repeats < maximum ? packet : undefined;
}
