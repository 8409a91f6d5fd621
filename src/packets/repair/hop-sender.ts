/**
 * The sending half of hop repair: numbers messages, keeps them until they are acknowledged, and
 * says which are to be repeated. Pure: time comes with each call.
 *
 * Repeats end before the client's own copy, which comes 200 ms after the original and may go to
 * another agent; the rest is left to it.
 */
import type { Endpoint } from '../../environment';
import { PacketMessageType, type HopNumber, type ReceivedMessage } from '../packet-messages';
import type { NumberedMessage, RepairableMessage } from './hop-messages';
import { RoundTripEstimator, type TimeoutBounds } from './round-trip-estimator';

const TIMEOUT_BOUNDS: TimeoutBounds = {
  /** Milliseconds; 8.8 between zones 4.4 ms apart, and as much again and more. */
  initial: 30,
  /**
   * Milliseconds; a node with 0.3 of a processor pauses that long within one period (100 ms) of
   * the scheduler's quota, and a repeat after 20 ms still saves nine tenths of the client's 200.
   */
  minimum: 20,
  /** Milliseconds; so that there is one repeat before {@link RETRANSMISSION_CUTOFF_MS}. */
  maximum: 100,
};
/**
 * Repeats of one message: where 3 round trips in 1,000 fail, all four sendings of one in ten
 * thousand million are lost, and a fourth repeat would come too late.
 */
const MAXIMUM_RETRANSMISSIONS = 3;
/** Milliseconds after a message from which on it is not repeated: its client does so after 200. */
const RETRANSMISSION_CUTOFF_MS = 150;
/** Milliseconds for which an acknowledgement is awaited: two timeouts of the longest kind. */
const ACKNOWLEDGEMENT_TIMEOUT_MS = 200;
/**
 * Timeouts in a row, without any acknowledgement, that still bring repeats; beyond that a node
 * gets none until it acknowledges something. Where one round trip in ten fails, six in a row do
 * so once in a million times: the node is away, or out of reach.
 */
const MAXIMUM_CONSECUTIVE_TIMEOUTS = 6;
/** Messages kept at once, about a fifth of a second of 20,000 a second. */
const MAXIMUM_BUFFERED_MESSAGES = 4_000;
/** Bytes of packets kept at once: as many messages with the most data (1,200 bytes) and heads. */
const MAXIMUM_BUFFERED_BYTES = 5_200_000;
/** Nodes that are numbered for; beyond that the one noted first is forgotten. */
const MAXIMUM_PEERS = 20_000;
/** Milliseconds without a message after which a node's round trip and numbers are forgotten. */
const PEER_LIFETIME_MS = 60_000;
const NUMBER_RANGE = 2 ** 32;

/** What is known of one node. */
interface PeerState {
  readonly address: Endpoint;
  /** Drawn anew whenever a node is noted, so that numbers begun anew are told from repeats. */
  readonly session: number;
  nextSequence: number;
  readonly roundTrip: RoundTripEstimator;
  /** Milliseconds to which timeouts have been doubled since the last sample (Karn's rule). */
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
  /** Timeouts so far, with a repeat or without. */
  timeouts: number;
  retransmissions: number;
}

/** A message that is to be sent once more. */
export interface Retransmission {
  readonly peer: Endpoint;
  readonly message: NumberedMessage;
}

/** What the sender asks when a message is overdue. */
export interface RetransmissionPolicy {
  /** Whether a node can be reached and still acknowledges, as far as is known. */
  isReachable(peer: Endpoint): boolean;
  /** Takes a repeat from the budget; false when there is none left. */
  takeToken(): boolean;
}

/** The outcome of looking at what is overdue. */
export interface OverdueResult {
  readonly retransmissions: readonly Retransmission[];
  /** Repeats left out because the node is silent. */
  readonly silent: number;
  /** Repeats left out because the budget was spent. */
  readonly overBudget: number;
}

/** The sender of one node. */
export class HopSender {
  private readonly peers = new Map<Endpoint, PeerState>();
  private readonly buffered = new Set<BufferedMessage>();
  private bufferedBytes = 0;
  private unbufferedCount = 0;

  /** @param random uniform in [0, 1) */
  constructor(private readonly random: () => number) {}

  /** Messages kept. */
  get size(): number {
    return this.buffered.size;
  }

  /** Messages that were not kept since too many were. */
  get unbufferedMessages(): number {
    return this.unbufferedCount;
  }

  /** Smoothed round trip to a node in milliseconds; undefined before the first acknowledgement. */
  getRoundTrip(peer: Endpoint): number | undefined {
    return this.peers.get(peer)?.roundTrip.smoothed;
  }

  /**
   * Numbers a message that is sent now, and keeps it unless too many are kept already.
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

  /** Time at which the earliest message is overdue; undefined when none is kept. */
  get nextDueAt(): number | undefined {
    let earliest: number | undefined;
    for (const { dueAt } of this.buffered) {
      earliest = earliest === undefined ? dueAt : Math.min(earliest, dueAt);
    }
    return earliest;
  }

  /** Milliseconds after which a message that is sent to a node now is overdue. */
  getTimeout(peer: Endpoint): number {
    const known = this.peers.get(peer);
    return known ? computeTimeout(known) : TIMEOUT_BOUNDS.initial;
  }

  /** A node has received messages. Numbers of another session or not kept are passed over. */
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

  /** Takes what is overdue: each such message is repeated, waits on, or is given up. */
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
    return { retransmissions: retransmissions, silent, overBudget };
  }

  /** Forgets nodes that have got nothing for long. */
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

/** Takes the round trip of an acknowledged message; one that was repeated tells nothing. */
function sampleRoundTrip(
  { peer, retransmissions: repeats, sentAt }: BufferedMessage,
  now: number,
): void {
  if (repeats === 0) {
    peer.roundTrip.addSample(now - sentAt);
    peer.backoffTimeout = 0;
  }
}

function computeTimeout({ roundTrip, backoffTimeout: backedOff }: PeerState): number {
  return Math.max(roundTrip.timeout, backedOff);
}

/** Counts a timeout and doubles the next one, also for later messages until there is a sample. */
function backOff(buffered: BufferedMessage, now: number): void {
  const { peer } = buffered;
  buffered.timeouts++;
  buffered.timeout = Math.min(TIMEOUT_BOUNDS.maximum, 2 * buffered.timeout);
  buffered.dueAt = now + buffered.timeout;
  peer.backoffTimeout = Math.max(peer.backoffTimeout, buffered.timeout);
  peer.consecutiveTimeouts++;
}
