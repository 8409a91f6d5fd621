/**
 * Loss detection for one flow from its target to the client: buffers packets until they are
 * acknowledged and decides when to retransmit them.
 *
 * Pure: times come from the caller. Acknowledgements are cumulative, so a gap is detected by
 * duplicate acknowledgements (RFC 5681) that persist beyond a reordering window (RFC 8985), and a
 * lost tail by a timeout (RFC 6298, RFC 8985 section 7). Packets are also reordered between the
 * target and the agent, so the order in which they arrive here carries no information.
 */
import type { Endpoint } from '../../environment';
import type { FlowPacket } from '../flow-packet';
import { RETRANSMISSION_CUTOFF_MS, TARGET_TIMEOUT_MS, type AnswerTiming } from './answer-timing';
import { computeEndSequence, computeDistance, computeSequenceLength } from './sequence-numbers';

/** Packets buffered per flow: as many as a sender has in flight. */
const MAXIMUM_BUFFERED_PACKETS = 16;
/** Retransmissions of one packet: one for its loss, one for the loss of the retransmission. */
const MAXIMUM_RETRANSMISSIONS = 2;
/**
 * Retransmissions of a SYN-ACK. Its client may have continued with another target that received a
 * retransmission of the SYN, which this agent cannot see.
 */
const MAXIMUM_OPENING_RETRANSMISSIONS = 1;
/** Sequence numbers tracked as sent; a sender has 16 packets in flight, and some go unrecorded. */
const MAXIMUM_TRACKED_SEQUENCES = 64;

/** A packet that was sent to the client and is not acknowledged yet. */
export interface BufferedPacket {
  /** The packet as the target sent it; never altered. */
  readonly bytes: Buffer;
  readonly sequence: number;
  readonly endSequence: number;
  readonly opens: boolean;
  /** Time at which the target last sent it. */
  sentAt: number;
  /** Retransmissions by this agent. */
  retransmissions: number;
  isRetransmittedByTarget: boolean;
}

/** Outcome of a client's acknowledgement. */
export interface AcknowledgementResult {
  /** Packets that it acknowledged. */
  readonly acknowledgedCount: number;
  /** Retransmissions of these packets that were unnecessary. */
  readonly spuriousRetransmissions: number;
}

/** State of a flow: `targetRepeats` from a timeout of the target until its packets are acknowledged. */
type FlowPhase = 'repaired' | 'targetRepeats' | 'over';

const NO_PROGRESS: AcknowledgementResult = { acknowledgedCount: 0, spuriousRetransmissions: 0 };

/** Retransmission state of one flow. */
export class AnswerFlow {
  /** Unacknowledged packets, in order of sequence number. */
  private buffered: BufferedPacket[] = [];
  /** Sequence numbers of packets sent and not acknowledged, whether buffered or not. */
  private readonly sentSequences = new Set<number>();
  private phase: FlowPhase = 'repaired';
  /** Every sequence number before it is acknowledged. */
  private acknowledgedUpTo: number;
  private sentUpTo: number;
  /** Highest sequence sent when a loss was last detected; recovery ends once it is acknowledged. */
  private recoveryPoint: number;
  /** Time at which the current gap was detected; undefined without one. */
  private gapDetectedAt: number | undefined;
  private lastSentAt = 0;
  private progressAt = 0;
  private retransmittedAt = 0;
  /** Tail loss probes since the last progress. */
  private probes = 0;
  private byteCount = 0;
  readonly client: Endpoint;
  private readonly firstSequence: number;

  /**
   * @param first the first packet seen from the target
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

  /** Bytes of the buffered packets. */
  get bufferedBytes(): number {
    return this.byteCount;
  }

  /** Whether any packet is buffered for retransmission. */
  get isPending(): boolean {
    return this.buffered.length > 0;
  }

  /** Whether a packet of the target opens another flow between the same endpoints. */
  isReplacedBy(packet: FlowPacket): boolean {
    return packet.opens && packet.sequence !== this.firstSequence;
  }

  /**
   * Records a packet of the target that has been sent to the client.
   * @param mayBuffer whether there is room to buffer it
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

  /** Whether the target has sent this sequence number before. */
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
   * The target's own retransmission replaces one by this agent. A fast retransmit concerns one
   * packet, and the others stay buffered; after a timeout, recovery is left to the target.
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

  /** Ends retransmission after either side has closed or reset the flow. */
  end(): void {
    this.phase = 'over';
    this.removeBuffered(() => true);
  }

  /** Handles a client's packet, which acknowledges all before `packet.acknowledgement`. */
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

  /** The receiver got a packet beyond the first unacknowledged one. */
  private handleDuplicateAcknowledgement(now: number): void {
    if (this.buffered.length > 1 && this.isFirstMissing) {
      this.gapDetectedAt ??= now;
      this.recoveryPoint = this.sentUpTo;
    }
  }

  /** Whether the first packet that the receiver lacks is buffered and not yet retransmitted. */
  private get isFirstMissing(): boolean {
    const [first] = this.buffered;
    const isMissing = first?.sequence === this.acknowledgedUpTo;
    return isMissing && first.retransmissions === 0 && !first.isRetransmittedByTarget;
  }

  /** Whether packets up to the recovery point are still unacknowledged. */
  private get isRecovering(): boolean {
    return computeDistance(this.acknowledgedUpTo, this.recoveryPoint) > 0;
  }

  /** A partial acknowledgement during recovery reveals another gap (RFC 6582). */
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
    const retransmissions = covered.reduce((sum, packet) => sum + packet.retransmissions, 0);
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

  /** Removes and returns the acknowledged packets, which come first in the buffer. */
  private removeAcknowledged(): BufferedPacket[] {
    const firstOpen = this.buffered.findIndex(
      ({ endSequence }) => computeDistance(endSequence, this.acknowledgedUpTo) < 0,
    );
    const covered = this.buffered.splice(0, firstOpen < 0 ? this.buffered.length : firstOpen);
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

  /** A single packet may get a delayed acknowledgement; a SYN-ACK does not. */
  private getAcknowledgementKind(last: BufferedPacket): 'prompt' | 'delayed' {
    return this.buffered.length === 1 && !last.opens ? 'delayed' : 'prompt';
  }

  /** Time of the next retransmission or expiry; Infinity for never. */
  get dueAt(): number {
    const [first] = this.buffered;
    if (!first) {
      return Infinity;
    }
    return Math.min(this.gapDueAt, this.probeDueAt, this.expiresAt);
  }

  /** Time at which the oldest packet is dropped, since its target then retransmits it. */
  private get expiresAt(): number {
    const sentAt = this.buffered.reduce((oldest, one) => Math.min(oldest, one.sentAt), Infinity);
    return sentAt + TARGET_TIMEOUT_MS;
  }

  /** After the reordering window, and not before the first packet's timeout. */
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
    const acknowledgedAt = Math.max(this.progressAt, this.gapDetectedAt ?? 0);
    const since = Math.max(this.lastSentAt, acknowledgedAt, this.retransmittedAt);
    return since + this.timing.getTimeout(this.getAcknowledgementKind(last)) * 2 ** this.probes;
  }

  /**
   * Returns the packet to retransmit now, or undefined. The caller reports the retransmission to
   * {@link recordRetransmission}.
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

  /** Records that a packet of {@link takeDuePacket} was sent; not called for a suppressed one. */
  recordRetransmission(packet: BufferedPacket, now: number): void {
    packet.retransmissions++;
    this.retransmittedAt = now;
    this.recoveryPoint = this.sentUpTo;
  }

  /** Drops packets that the target retransmits from now on. */
  private removeExpired(now: number): void {
    this.removeBuffered(({ sentAt }) => now - sentAt >= TARGET_TIMEOUT_MS);
  }

  private removeBuffered(isRemoved: (packet: BufferedPacket) => boolean): void {
    this.buffered = this.buffered.filter((packet) => !isRemoved(packet));
    this.byteCount = this.buffered.reduce((sum, { bytes }) => sum + bytes.length, 0);
    if (this.buffered.length === 0) {
      this.gapDetectedAt = undefined;
    }
  }
}

/** Whether a packet carries nothing but an acknowledgement. */
function isPureAcknowledgement({ opens, ends, resets, payloadLength }: FlowPacket): boolean {
  return !opens && !ends && !resets && payloadLength === 0;
}

/** The packet if it may be retransmitted again and its target is not about to do so. */
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
