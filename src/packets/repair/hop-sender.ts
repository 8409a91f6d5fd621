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
import { RoundTripEstimator, type RoundTripBounds } from './round-trip';

const ROUND_TRIP_BOUNDS: RoundTripBounds = {
  /** Milliseconds; 8.8 between zones 4.4 ms apart, and as much again and more. */
  initial: 30,
  /**
   * Milliseconds; a node with 0.3 of a processor pauses that long within one period (100 ms) of
   * the scheduler's quota, and a repeat after 20 ms still saves nine tenths of the client's 200.
   */
  floor: 20,
  /** Milliseconds; so that there is one repeat before {@link LAST_REPEAT_TIME}. */
  ceiling: 100,
};
/**
 * Repeats of one message: where 3 round trips in 1,000 fail, all four sendings of one in ten
 * thousand million are lost, and a fourth repeat would come too late.
 */
const MAXIMUM_REPEATS = 3;
/** Milliseconds after a message from which on it is not repeated: its client does so after 200. */
const LAST_REPEAT_TIME = 150;
/** Milliseconds for which an acknowledgement is awaited: two timeouts of the longest kind. */
const LONGEST_WAIT = 200;
/**
 * Timeouts in a row, without any acknowledgement, that still bring repeats; beyond that a node
 * gets none until it acknowledges something. Where one round trip in ten fails, six in a row do
 * so once in a million times: the node is away, or out of reach.
 */
const TIMEOUTS_OF_SILENCE = 6;
/** Messages kept at once, about a fifth of a second of 20,000 a second. */
const MAXIMUM_KEPT = 4_000;
/** Bytes of packets kept at once: as many messages with the most data (1,200 bytes) and heads. */
const MAXIMUM_KEPT_BYTES = 5_200_000;
/** Nodes that are numbered for; beyond that the one noted first is forgotten. */
const MAXIMUM_PEERS = 20_000;
/** Milliseconds without a message after which a node's round trip and numbers are forgotten. */
const PEER_LIFETIME = 60_000;
const NUMBER_RANGE = 2 ** 32;

/** What is known of one node. */
interface PeerState {
  readonly address: Endpoint;
  /** Drawn anew whenever a node is noted, so that numbers begun anew are told from repeats. */
  readonly session: number;
  nextSequence: number;
  readonly roundTrip: RoundTripEstimator;
  /** Milliseconds to which timeouts have been doubled since the last sample (Karn's rule). */
  backedOff: number;
  timeoutsInRow: number;
  readonly kept: Map<number, KeptMessage>;
  usedAt: number;
}

interface KeptMessage {
  readonly peer: PeerState;
  readonly message: NumberedMessage;
  readonly sentAt: number;
  dueAt: number;
  timeout: number;
  /** Timeouts so far, with a repeat or without. */
  timeouts: number;
  repeats: number;
}

/** A message that is to be sent once more. */
export interface Repeat {
  readonly peer: Endpoint;
  readonly message: NumberedMessage;
}

/** What the sender asks when a message is overdue. */
export interface RepeatRules {
  /** Whether a node can be reached and still acknowledges, as far as is known. */
  isReachable(peer: Endpoint): boolean;
  /** Takes a repeat from the budget; false when there is none left. */
  takeFromBudget(): boolean;
}

/** The outcome of looking at what is overdue. */
export interface OverdueOutcome {
  readonly repeats: readonly Repeat[];
  /** Repeats left out because the node is silent. */
  readonly silent: number;
  /** Repeats left out because the budget was spent. */
  readonly overBudget: number;
}

/** The sender of one node. */
export class HopSender {
  private readonly peers = new Map<Endpoint, PeerState>();
  private readonly kept = new Set<KeptMessage>();
  private keptBytes = 0;
  private unkept = 0;

  /** @param random uniform in [0, 1) */
  constructor(private readonly random: () => number) {}

  /** Messages kept. */
  get size(): number {
    return this.kept.size;
  }

  /** Messages that were not kept since too many were. */
  get notKept(): number {
    return this.unkept;
  }

  /** Smoothed round trip to a node in milliseconds; undefined before the first acknowledgement. */
  roundTripTo(peer: Endpoint): number | undefined {
    return this.peers.get(peer)?.roundTrip.smoothed;
  }

  /**
   * Numbers a message that is sent now, and keeps it unless too many are kept already.
   * @returns the message to send
   */
  keep(to: Endpoint, message: RepairableMessage, now: number): NumberedMessage {
    const peer = this.peerOf(to, now);
    const numbered = addNumber(message, takeNumber(peer));
    const bytes = message.payload.length;
    if (this.kept.size < MAXIMUM_KEPT && this.keptBytes + bytes <= MAXIMUM_KEPT_BYTES) {
      this.add(peer, numbered, now);
    } else {
      this.unkept++;
    }
    return numbered;
  }

  /** Time at which the earliest message is overdue; undefined when none is kept. */
  get nextDue(): number | undefined {
    let earliest: number | undefined;
    for (const { dueAt } of this.kept) {
      earliest = earliest === undefined ? dueAt : Math.min(earliest, dueAt);
    }
    return earliest;
  }

  /** Milliseconds after which a message that is sent to a node now is overdue. */
  timeoutOf(peer: Endpoint): number {
    const known = this.peers.get(peer);
    return known ? timeoutFor(known) : ROUND_TRIP_BOUNDS.initial;
  }

  /** A node has received messages. Numbers of another session or not kept are passed over. */
  noteReceived(from: Endpoint, { session, sequences }: ReceivedMessage, now: number): void {
    const peer = this.peers.get(from);
    if (peer?.session !== session) {
      return;
    }
    peer.timeoutsInRow = 0;
    for (const sequence of sequences) {
      const kept = peer.kept.get(sequence);
      if (kept) {
        this.drop(kept);
        measure(kept, now);
      }
    }
  }

  /** Takes what is overdue: each such message is repeated, waits on, or is given up. */
  takeOverdue(now: number, rules: RepeatRules): OverdueOutcome {
    const repeats: Repeat[] = [];
    let silent = 0;
    let overBudget = 0;
    for (const kept of this.kept) {
      if (kept.dueAt > now) {
        continue;
      }
      switch (this.decide(kept, now, rules)) {
        case 'repeat':
          repeats.push({ peer: kept.peer.address, message: kept.message });
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
    return { repeats, silent, overBudget };
  }

  /** Forgets nodes that have got nothing for long. */
  expire(now: number): void {
    for (const peer of this.peers.values()) {
      if (now - peer.usedAt > PEER_LIFETIME) {
        this.forget(peer);
      }
    }
  }

  private decide(
    kept: KeptMessage,
    now: number,
    rules: RepeatRules,
  ): 'repeat' | 'wait' | 'silent' | 'overBudget' {
    const { peer, sentAt } = kept;
    if (now >= sentAt + LONGEST_WAIT) {
      this.drop(kept);
      return 'wait';
    }
    if (kept.timeouts >= MAXIMUM_REPEATS || now >= sentAt + LAST_REPEAT_TIME) {
      kept.dueAt = sentAt + LONGEST_WAIT;
      return 'wait';
    }
    backOff(kept, now);
    if (peer.timeoutsInRow > TIMEOUTS_OF_SILENCE || !rules.isReachable(peer.address)) {
      return 'silent';
    }
    if (!rules.takeFromBudget()) {
      return 'overBudget';
    }
    kept.repeats++;
    return 'repeat';
  }

  private add(peer: PeerState, message: NumberedMessage, now: number): void {
    const timeout = timeoutFor(peer);
    const kept: KeptMessage = {
      peer,
      message,
      sentAt: now,
      dueAt: now + timeout,
      timeout,
      timeouts: 0,
      repeats: 0,
    };
    this.kept.add(kept);
    peer.kept.set(message.sequence, kept);
    this.keptBytes += message.payload.length;
  }

  private drop(kept: KeptMessage): void {
    if (this.kept.delete(kept)) {
      kept.peer.kept.delete(kept.message.sequence);
      this.keptBytes -= kept.message.payload.length;
    }
  }

  private peerOf(address: Endpoint, now: number): PeerState {
    const known = this.peers.get(address);
    if (known) {
      known.usedAt = now;
      return known;
    }
    if (this.peers.size >= MAXIMUM_PEERS) {
      const [first] = this.peers.values();
      this.forget(first!);
    }
    const peer: PeerState = {
      address,
      session: this.drawNumber(),
      nextSequence: this.drawNumber(),
      roundTrip: new RoundTripEstimator(ROUND_TRIP_BOUNDS),
      backedOff: 0,
      timeoutsInRow: 0,
      kept: new Map(),
      usedAt: now,
    };
    this.peers.set(address, peer);
    return peer;
  }

  private forget(peer: PeerState): void {
    peer.kept.forEach((kept) => this.drop(kept));
    this.peers.delete(peer.address);
  }

  private drawNumber(): number {
    return Math.floor(this.random() * NUMBER_RANGE);
  }
}

function takeNumber(peer: PeerState): HopNumber {
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
function measure({ peer, repeats, sentAt }: KeptMessage, now: number): void {
  if (repeats === 0) {
    peer.roundTrip.sample(now - sentAt);
    peer.backedOff = 0;
  }
}

function timeoutFor({ roundTrip, backedOff }: PeerState): number {
  return Math.max(roundTrip.timeout, backedOff);
}

/** Counts a timeout and doubles the next one, also for later messages until there is a sample. */
function backOff(kept: KeptMessage, now: number): void {
  const { peer } = kept;
  kept.timeouts++;
  kept.timeout = Math.min(ROUND_TRIP_BOUNDS.ceiling, 2 * kept.timeout);
  kept.dueAt = now + kept.timeout;
  peer.backedOff = Math.max(peer.backedOff, kept.timeout);
  peer.timeoutsInRow++;
}
