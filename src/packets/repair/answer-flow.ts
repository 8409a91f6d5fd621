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
import { RETRANSMISSION_CUTOFF_MS, TARGET_TIMEOUT_MS, type AnswerTiming } from './answer-timing';
import { computeEndSequence, computeDistance, computeSequenceLength } from './sequence-numbers';

/** Packets kept of a flow: as many as a sender has under way. */
const MAXIMUM_BUFFERED_PACKETS = 16;
/** Repeats of one packet: one for the loss, one for the loss of the repeat. */
const MAXIMUM_RETRANSMISSIONS = 2;
/**
 * Repeats of an answer to an opening: its client may have gone on with another target that got a
 * copy of the opening, of which this agent sees nothing.
 */
const MAXIMUM_OPENING_RETRANSMISSIONS = 1;
/** Sequence numbers known as sent; a sender has 16 packets under way, some may be unaccounted. */
const MAXIMUM_TRACKED_SEQUENCES = 64;

/** A packet that was sent to the client and is not acknowledged. */
export interface BufferedPacket {
  /** The packet as the target wrote it; never altered. */
  readonly bytes: Buffer;
  readonly sequence: number;
  readonly endSequence: number;
  readonly opens: boolean;
  /** Time at which the target sent it last. */
  sentAt: number;
  /** Repeats from here. */
  retransmissions: number;
  /** Its target has repeated it. */
  isRetransmittedByTarget: boolean;
}

/** What a client's packet told. */
export interface AcknowledgementResult {
  /** Packets acknowledged by it. */
  readonly acknowledgedCount: number;
  /** Repeats of them that came after the first had arrived. */
  readonly spuriousRetransmissions: number;
}

/** How a flow stands: `targetRepeats` after its target's timer, until that is acknowledged. */
type FlowPhase = 'repaired' | 'targetRepeats' | 'over';

const NO_PROGRESS: AcknowledgementResult = { acknowledgedCount: 0, spuriousRetransmissions: 0 };

/** The answers of one flow. */
export class AnswerFlow {
  /** Unacknowledged packets, by sequence number. */
  private buffered: BufferedPacket[] = [];
  /** Sequence numbers of packets sent and not acknowledged, kept or not. */
  private readonly sentSequences = new Set<number>();
  private phase: FlowPhase = 'repaired';
  /** All before it is acknowledged. */
  private acknowledgedUpTo: number;
  private sentUpTo: number;
  /** What was sent when a gap or a loss was last known; all before it must come to close it. */
  private recoveryPoint: number;
  /** Time since which a gap has been known; undefined without one. */
  private gapDetectedAt: number | undefined;
  private lastSentAt = 0;
  private progressAt = 0;
  private retransmittedAt = 0;
  /** Probes since the last progress. */
  private probes = 0;
  private byteCount = 0;
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
    this.recoveryPoint = first.sequence;
  }

  /** Bytes of the packets kept. */
  get bufferedBytes(): number {
    return this.byteCount;
  }

  /** Whether anything is kept that may have to be repeated. */
  get isPending(): boolean {
    return this.buffered.length > 0;
  }

  /** Whether a packet of the target opens another flow between the same ends. */
  isReplacedBy(packet: FlowPacket): boolean {
    return packet.opens && packet.sequence !== this.firstSequence;
  }

  /**
   * The target's packet has been sent to the client.
   * @param mayBuffer whether there is room to keep it
   */
  recordSent(packet: FlowPacket, mayBuffer: boolean, now: number): void {
    this.usedAt = now;
    if (packet.resets) {
      this.end();
    } else if (this.phase !== 'over' && computeSequenceLength(packet) > 0) {
      this.recordSequences(packet, mayBuffer, now);
    }
  }

  private recordSequences(packet: FlowPacket, mayBuffer: boolean, now: number): void {
    if (this.isRetransmission(packet)) {
      this.handleTargetRetransmission(packet, now);
      return;
    }
    this.recordSequence(packet.sequence);
    const end = computeEndSequence(packet);
    this.sentUpTo = computeDistance(this.sentUpTo, end) > 0 ? end : this.sentUpTo;
    if (this.phase === 'repaired' && mayBuffer) {
      this.bufferPacket(packet, now);
    }
  }

  /** Whether the target has sent these numbers before. */
  private isRetransmission({ sequence }: FlowPacket): boolean {
    const isOld = computeDistance(this.acknowledgedUpTo, sequence) < 0;
    return isOld || this.sentSequences.has(sequence);
  }

  private recordSequence(sequence: number): void {
    this.sentSequences.add(sequence);
    if (this.sentSequences.size > MAXIMUM_TRACKED_SEQUENCES) {
      const [oldest] = this.sentSequences;
      this.sentSequences.delete(oldest!);
    }
  }

  /**
   * The target's own repeat takes the place of one from here. After repeated acknowledgements it
   * is one packet, and the rest is still looked after; after its timer all is up to the target.
   */
  private handleTargetRetransmission({ sequence }: FlowPacket, now: number): void {
    const packet = this.buffered.find((one) => one.sequence === sequence);
    if (packet && now - packet.sentAt < RETRANSMISSION_CUTOFF_MS) {
      packet.sentAt = now;
      packet.isRetransmittedByTarget = true;
      this.lastSentAt = now;
      this.retransmittedAt = now;
      this.gapDetectedAt = undefined;
    } else if (computeDistance(this.acknowledgedUpTo, sequence) >= 0) {
      this.phase = 'targetRepeats';
      this.recoveryPoint = this.sentUpTo;
      this.removeBuffered(() => true);
    }
  }

  private bufferPacket(packet: FlowPacket, now: number): void {
    const { bytes, sequence, opens } = packet;
    const next = this.buffered.findIndex((one) => computeDistance(sequence, one.sequence) > 0);
    const index = next < 0 ? this.buffered.length : next;
    this.buffered.splice(index, 0, {
      bytes,
      sequence,
      endSequence: computeEndSequence(packet),
      opens,
      sentAt: now,
      retransmissions: 0,
      isRetransmittedByTarget: false,
    });
    this.lastSentAt = now;
    this.byteCount += bytes.length;
    if (this.buffered.length > MAXIMUM_BUFFERED_PACKETS) {
      const [first] = this.buffered;
      this.removeBuffered((one) => one === first);
    }
  }

  /** One side has ended the flow or broken it off: nothing is repeated any more. */
  end(): void {
    this.phase = 'over';
    this.removeBuffered(() => true);
  }

  /** A client's packet acknowledges what came before `packet.acknowledgement`. */
  handleAcknowledgement(packet: FlowPacket, now: number): AcknowledgementResult {
    const { acknowledgement } = packet;
    const advance = computeDistance(this.acknowledgedUpTo, acknowledgement);
    if (advance === 0 && isPureAcknowledgement(packet)) {
      this.handleDuplicateAcknowledgement(now);
    }
    if (advance <= 0 || computeDistance(acknowledgement, this.sentUpTo) < 0) {
      return NO_PROGRESS;
    }
    this.acknowledgedUpTo = acknowledgement;
    this.progressAt = now;
    this.probes = 0;
    const progress = this.processAcknowledged(now);
    if (this.phase !== 'over') {
      this.updateGap(now);
    }
    return progress;
  }

  /** The receiver has something from behind the first unacknowledged packet. */
  private handleDuplicateAcknowledgement(now: number): void {
    if (this.buffered.length > 1 && this.isFirstMissing) {
      this.gapDetectedAt ??= now;
      this.recoveryPoint = this.sentUpTo;
    }
  }

  /** Whether the first packet is kept that the receiver lacks, and nobody has repeated it. */
  private get isFirstMissing(): boolean {
    const [first] = this.buffered;
    const isMissing = first?.sequence === this.acknowledgedUpTo;
    return isMissing && first.retransmissions === 0 && !first.isRetransmittedByTarget;
  }

  /** Whether something from behind the first missing packet has come, or may have been lost. */
  private get isRecovering(): boolean {
    return computeDistance(this.acknowledgedUpTo, this.recoveryPoint) > 0;
  }

  /** What is still missing of the time of a gap or a repeat is another gap (RFC 6582). */
  private updateGap(now: number): void {
    const { isRecovering } = this;
    if (!isRecovering) {
      this.recoveryPoint = this.acknowledgedUpTo;
      this.phase = 'repaired';
    }
    this.gapDetectedAt = isRecovering && this.isFirstMissing ? now : undefined;
  }

  private processAcknowledged(now: number): AcknowledgementResult {
    this.removeAcknowledgedSequences();
    const covered = this.removeAcknowledged();
    const last = covered.at(-1);
    if (!last) {
      return NO_PROGRESS;
    }
    const retransmissions = covered.reduce((sum, { retransmissions: more }) => sum + more, 0);
    const isAmbiguous = retransmissions > 0 || covered.some((one) => one.isRetransmittedByTarget);
    const isSpurious =
      retransmissions > 0 && now - this.retransmittedAt < this.timing.reorderingWindow;
    if (!isAmbiguous || isSpurious) {
      const isAlone = covered.length === 1 && this.buffered.length === 0 && !last.opens;
      this.timing.addSample(isAlone ? 'delayed' : 'prompt', now - last.sentAt);
    }
    return {
      acknowledgedCount: covered.length,
      spuriousRetransmissions: isSpurious ? retransmissions : 0,
    };
  }

  /** Takes out what is acknowledged: the first of the packets kept. */
  private removeAcknowledged(): BufferedPacket[] {
    const open = this.buffered.findIndex(
      ({ endSequence: end }) => computeDistance(end, this.acknowledgedUpTo) < 0,
    );
    const covered = this.buffered.splice(0, open < 0 ? this.buffered.length : open);
    covered.forEach(({ bytes }) => (this.byteCount -= bytes.length));
    return covered;
  }

  private removeAcknowledgedSequences(): void {
    for (const sequence of this.sentSequences) {
      if (computeDistance(this.acknowledgedUpTo, sequence) < 0) {
        this.sentSequences.delete(sequence);
      }
    }
  }

  /** A single packet may wait for another one before it is acknowledged; an opening does not. */
  private getAcknowledgementKind(last: BufferedPacket): 'prompt' | 'delayed' {
    return this.buffered.length === 1 && !last.opens ? 'delayed' : 'prompt';
  }

  /** Time at which there is something to do; Infinity for never. */
  get dueAt(): number {
    const [first] = this.buffered;
    if (!first) {
      return Infinity;
    }
    return Math.min(this.gapDueAt, this.probeDueAt, this.expiresAt);
  }

  /** Time at which the oldest copy is dropped: its target repeats it by itself then. */
  private get expiresAt(): number {
    const sentAt = this.buffered.reduce((oldest, one) => Math.min(oldest, one.sentAt), Infinity);
    return sentAt + TARGET_TIMEOUT_MS;
  }

  /** Once packets cannot have overtaken each other, and the first has had its time. */
  private get gapDueAt(): number {
    const [first] = this.buffered;
    if (!first || this.gapDetectedAt === undefined) {
      return Infinity;
    }
    const timeout = this.timing.getTimeout('prompt');
    return Math.max(this.gapDetectedAt + this.timing.reorderingWindow, first.sentAt + timeout);
  }

  private get probeDueAt(): number {
    const last = this.buffered.at(-1);
    if (!last || this.probes >= MAXIMUM_RETRANSMISSIONS) {
      return Infinity;
    }
    const heardAt = Math.max(this.progressAt, this.gapDetectedAt ?? 0);
    const since = Math.max(this.lastSentAt, heardAt, this.retransmittedAt);
    return since + this.timing.getTimeout(this.getAcknowledgementKind(last)) * 2 ** this.probes;
  }

  /**
   * Takes the packet that is to be repeated now; it counts as repeated by {@link recordRetransmission} only.
   * @returns undefined when there is none
   */
  takeDuePacket(now: number): BufferedPacket | undefined {
    this.removeExpired(now);
    if (this.gapDueAt <= now) {
      this.gapDetectedAt = undefined;
      return getRetransmittable(this.buffered[0], now);
    }
    if (this.probeDueAt <= now) {
      this.probes++;
      return getRetransmittable(this.isRecovering ? this.buffered[0] : this.buffered.at(-1), now);
    }
    return undefined;
  }

  /** A packet that {@link takeDuePacket} gave has been repeated; one that was withheld has not. */
  recordRetransmission(packet: BufferedPacket, now: number): void {
    packet.retransmissions++;
    this.retransmittedAt = now;
    this.recoveryPoint = this.sentUpTo;
  }

  /** Drops what the target repeats by itself from now on. */
  private removeExpired(now: number): void {
    this.removeBuffered(({ sentAt }) => now - sentAt >= TARGET_TIMEOUT_MS);
  }

  private removeBuffered(isRemoved: (answer: BufferedPacket) => boolean): void {
    this.buffered = this.buffered.filter((answer) => !isRemoved(answer));
    this.byteCount = this.buffered.reduce((sum, { bytes }) => sum + bytes.length, 0);
    if (this.buffered.length === 0) {
      this.gapDetectedAt = undefined;
    }
  }
}

/** Whether a packet carries nothing but its acknowledgement. */
function isPureAcknowledgement({ opens, ends, resets, payloadLength }: FlowPacket): boolean {
  return !opens && !ends && !resets && payloadLength === 0;
}

/** The packet if it may be repeated once more, and its target is not about to do so. */
function getRetransmittable(
  packet: BufferedPacket | undefined,
  now: number,
): BufferedPacket | undefined {
  if (!packet || now - packet.sentAt > RETRANSMISSION_CUTOFF_MS) {
    return undefined;
  }
  const maximum = packet.opens ? MAXIMUM_OPENING_RETRANSMISSIONS : MAXIMUM_RETRANSMISSIONS;
  return packet.retransmissions < maximum ? packet : undefined;
}
