/**
 * The sending side of hop repair: numbers messages, buffers them until they are acknowledged, and
 * selects those to retransmit. Pure: time is passed with each call.
 *
 * Retransmissions end before the client's own, which follows 200 ms after the original and may go
 * to another agent; later recovery is left to the client.
 */
import type { Endpoint } from '../../environment';
import { PacketMessageType, type HopNumber, type ReceivedMessage } from '../packet-messages';
import type { NumberedMessage, RepairableMessage } from './hop-messages';
import { RoundTripEstimator, type TimeoutBounds } from './round-trip-estimator';

const TIMEOUT_BOUNDS: TimeoutBounds = {
  /** Milliseconds; over three times the round trip of 8.8 ms between zones 4.4 ms apart. */
  initial: 30,
  /**
   * Milliseconds; a node limited to 0.3 of a processor pauses that long within one quota period
   * (100 ms) of the scheduler, and a retransmission after 20 ms still saves 90 % of the 200 ms.
   */
  minimum: 20,
  /** Milliseconds; leaves time for one retransmission before {@link RETRANSMISSION_CUTOFF_MS}. */
  maximum: 100,
};
/**
 * Retransmissions of one message: with 3 round trips in 1,000 failing, all four transmissions are
 * lost for one message in ten thousand million, and a fourth retransmission would come too late.
 */
const MAXIMUM_RETRANSMISSIONS = 3;
/** Age above which a message is not retransmitted: its client does so after 200 ms. */
const RETRANSMISSION_CUTOFF_MS = 150;
/** Time for which an acknowledgement is awaited: twice the maximum timeout. */
const ACKNOWLEDGEMENT_TIMEOUT_MS = 200;
/**
 * Consecutive timeouts after which retransmissions to a peer are suppressed until it acknowledges
 * a message. With one round trip in ten failing, six in a row fail once in a million times, so the
 * peer is most likely down or unreachable.
 */
const MAXIMUM_CONSECUTIVE_TIMEOUTS = 6;
/** Messages buffered at once, about 200 ms at 20,000 messages a second. */
const MAXIMUM_BUFFERED_MESSAGES = 4_000;
/** Bytes buffered at once: as many messages with the maximum data (1,200 bytes) and headers. */
const MAXIMUM_BUFFERED_BYTES = 5_200_000;
/** Peers tracked; beyond that the oldest is evicted. */
const MAXIMUM_PEERS = 20_000;
/** Idle time after which a peer's round trip and sequence numbers are dropped. */
const PEER_LIFETIME_MS = 60_000;
const NUMBER_RANGE = 2 ** 32;

/** Sending state of one peer. */
interface PeerState {
  readonly address: Endpoint;
  /** Random per peer state, so that a restarted numbering is not mistaken for duplicates. */
  readonly session: number;
  nextSequence: number;
  readonly roundTrip: RoundTripEstimator;
  /** Milliseconds to which timeouts have backed off since the last sample (Karn's rule). */
  backoffTimeout: number;
  consecutiveTimeouts: number;
  readonly buffered: Map<number, BufferedMessage>;
  usedAt: number;
}

interface BufferedMessage {
  readonly peer: PeerState;
  readonly message: NumberedMessage;
  readonly sentAt: number;
  dueAt: number;
  timeout: number;
  /** Timeouts so far, whether followed by a retransmission or not. */
  timeouts: number;
  retransmissions: number;
}

/** A message to retransmit. */
export interface Retransmission {
  readonly peer: Endpoint;
  readonly message: NumberedMessage;
}

/** Conditions for retransmitting an overdue message. */
export interface RetransmissionPolicy {
  /** Whether a peer is believed to be reachable and to support acknowledgements. */
  isReachable(peer: Endpoint): boolean;
  /** Takes a token from the budget; false when there is none left. */
  takeToken(): boolean;
}

/** Outcome of processing overdue messages. */
export interface OverdueResult {
  readonly retransmissions: readonly Retransmission[];
  /** Retransmissions suppressed because the peer is unresponsive. */
  readonly silent: number;
  /** Retransmissions suppressed because the budget was exhausted. */
  readonly overBudget: number;
}

/** Sending side of one node. */
export class HopSender {
  private readonly peers = new Map<Endpoint, PeerState>();
  private readonly buffered = new Set<BufferedMessage>();
  private bufferedBytes = 0;
  private unbufferedCount = 0;

  /** @param random uniform in [0, 1) */
  constructor(private readonly random: () => number) {}

  /** Messages buffered. */
  get size(): number {
    return this.buffered.size;
  }

  /** Messages sent without buffering because the buffer was full. */
  get unbufferedMessages(): number {
    return this.unbufferedCount;
  }

  /** Smoothed round trip to a peer in milliseconds; undefined before the first acknowledgement. */
  getRoundTrip(peer: Endpoint): number | undefined {
    return this.peers.get(peer)?.roundTrip.smoothed;
  }

  /**
   * Numbers a message that is sent now, and buffers it unless the buffer is full.
   * @returns the message to send
   */
  prepareMessage(to: Endpoint, message: RepairableMessage, now: number): NumberedMessage {
    const peer = this.getOrCreatePeer(to, now);
    const numbered = addNumber(message, allocateNumber(peer));
    const bytes = message.payload.length;
    if (
      this.buffered.size < MAXIMUM_BUFFERED_MESSAGES &&
      this.bufferedBytes + bytes <= MAXIMUM_BUFFERED_BYTES
    ) {
      this.bufferMessage(peer, numbered, now);
    } else {
      this.unbufferedCount++;
    }
    return numbered;
  }

  /** Time at which the earliest message is overdue; undefined when none is buffered. */
  get nextDueAt(): number | undefined {
    let earliest: number | undefined;
    for (const { dueAt } of this.buffered) {
      earliest = earliest === undefined ? dueAt : Math.min(earliest, dueAt);
    }
    return earliest;
  }

  /** Milliseconds after which a message that is sent to a peer now is overdue. */
  getTimeout(peer: Endpoint): number {
    const known = this.peers.get(peer);
    return known ? computeTimeout(known) : TIMEOUT_BOUNDS.initial;
  }

  /** Handles an acknowledgement. Unknown numbers and those of another session are ignored. */
  handleAcknowledgement(
    from: Endpoint,
    { session, sequences }: ReceivedMessage,
    now: number,
  ): void {
    const peer = this.peers.get(from);
    if (peer?.session !== session) {
      return;
    }
    peer.consecutiveTimeouts = 0;
    for (const sequence of sequences) {
      const buffered = peer.buffered.get(sequence);
      if (buffered) {
        this.removeMessage(buffered);
        sampleRoundTrip(buffered, now);
      }
    }
  }

  /** Processes overdue messages: each is retransmitted, awaited further, or dropped. */
  takeOverdue(now: number, policy: RetransmissionPolicy): OverdueResult {
    const retransmissions: Retransmission[] = [];
    let silent = 0;
    let overBudget = 0;
    for (const buffered of this.buffered) {
      if (buffered.dueAt > now) {
        continue;
      }
      switch (this.decideOverdue(buffered, now, policy)) {
        case 'repeat':
          retransmissions.push({ peer: buffered.peer.address, message: buffered.message });
          break;
        case 'silent':
          silent++;
          break;
        case 'overBudget':
          overBudget++;
          break;
        case 'wait':
      }
    }
    return { retransmissions, silent, overBudget };
  }

  /** Drops the state of idle peers. */
  expire(now: number): void {
    for (const peer of this.peers.values()) {
      if (now - peer.usedAt > PEER_LIFETIME_MS) {
        this.removePeer(peer);
      }
    }
  }

  private decideOverdue(
    buffered: BufferedMessage,
    now: number,
    policy: RetransmissionPolicy,
  ): 'repeat' | 'wait' | 'silent' | 'overBudget' {
    const { peer, sentAt } = buffered;
    if (now >= sentAt + ACKNOWLEDGEMENT_TIMEOUT_MS) {
      this.removeMessage(buffered);
      return 'wait';
    }
    if (buffered.timeouts >= MAXIMUM_RETRANSMISSIONS || now >= sentAt + RETRANSMISSION_CUTOFF_MS) {
      buffered.dueAt = sentAt + ACKNOWLEDGEMENT_TIMEOUT_MS;
      return 'wait';
    }
    backOff(buffered, now);
    if (
      peer.consecutiveTimeouts > MAXIMUM_CONSECUTIVE_TIMEOUTS ||
      !policy.isReachable(peer.address)
    ) {
      return 'silent';
    }
    if (!policy.takeToken()) {
      return 'overBudget';
    }
    buffered.retransmissions++;
    return 'repeat';
  }

  private bufferMessage(peer: PeerState, message: NumberedMessage, now: number): void {
    const timeout = computeTimeout(peer);
    const buffered: BufferedMessage = {
      peer,
      message,
      sentAt: now,
      dueAt: now + timeout,
      timeout,
      timeouts: 0,
      retransmissions: 0,
    };
    this.buffered.add(buffered);
    peer.buffered.set(message.sequence, buffered);
    this.bufferedBytes += message.payload.length;
  }

  private removeMessage(buffered: BufferedMessage): void {
    if (this.buffered.delete(buffered)) {
      buffered.peer.buffered.delete(buffered.message.sequence);
      this.bufferedBytes -= buffered.message.payload.length;
    }
  }

  private getOrCreatePeer(address: Endpoint, now: number): PeerState {
    const known = this.peers.get(address);
    if (known) {
      known.usedAt = now;
      return known;
    }
    if (this.peers.size >= MAXIMUM_PEERS) {
      const [first] = this.peers.values();
      this.removePeer(first!);
    }
    const peer: PeerState = {
      address,
      session: this.generateNumber(),
      nextSequence: this.generateNumber(),
      roundTrip: new RoundTripEstimator(TIMEOUT_BOUNDS),
      backoffTimeout: 0,
      consecutiveTimeouts: 0,
      buffered: new Map(),
      usedAt: now,
    };
    this.peers.set(address, peer);
    return peer;
  }

  private removePeer(peer: PeerState): void {
    peer.buffered.forEach((buffered) => this.removeMessage(buffered));
    this.peers.delete(peer.address);
  }

  private generateNumber(): number {
    return Math.floor(this.random() * NUMBER_RANGE);
  }
}

function allocateNumber(peer: PeerState): HopNumber {
  const sequence = peer.nextSequence;
  peer.nextSequence = (sequence + 1) % NUMBER_RANGE;
  return { session: peer.session, sequence };
}

function addNumber(message: RepairableMessage, number: HopNumber): NumberedMessage {
  switch (message.type) {
    case PacketMessageType.deliver:
      return { ...message, ...number, type: PacketMessageType.numberedDeliver };
    case PacketMessageType.notHeld:
      return { ...message, ...number, type: PacketMessageType.numberedRefusal };
  }
}

/** Adds the round trip of an acknowledged message; that of a retransmitted one is ambiguous. */
function sampleRoundTrip({ peer, retransmissions, sentAt }: BufferedMessage, now: number): void {
  if (retransmissions === 0) {
    peer.roundTrip.addSample(now - sentAt);
    peer.backoffTimeout = 0;
  }
}

function computeTimeout({ roundTrip, backoffTimeout }: PeerState): number {
  return Math.max(roundTrip.timeout, backoffTimeout);
}

/** Counts a timeout and doubles the next one, also for later messages until the next sample. */
function backOff(buffered: BufferedMessage, now: number): void {
  const { peer } = buffered;
  buffered.timeouts++;
  buffered.timeout = Math.min(TIMEOUT_BOUNDS.maximum, 2 * buffered.timeout);
  buffered.dueAt = now + buffered.timeout;
  peer.backoffTimeout = Math.max(peer.backoffTimeout, buffered.timeout);
  peer.consecutiveTimeouts++;
}
