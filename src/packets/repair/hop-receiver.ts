/**
 * The receiving side of hop repair: detects duplicates of numbered messages. Pure.
 *
 * A window belongs to a session, not to a node: a sender that restarts or has dropped its state
 * draws a new session, so its messages are never mistaken for duplicates. A jump of the sequence
 * numbers would not reveal that, since new numbers may start anywhere, also close to the old ones.
 * The previous session is retained for its messages that are still in flight.
 */
import type { Endpoint } from '../../environment';
import type { HopNumber } from '../packet-messages';
import { SequenceWindow } from './sequence-window';

/** Peers tracked; beyond that the oldest is evicted. The same limit as in `PacketLink`. */
const MAXIMUM_PEERS = 20_000;
/**
 * Time after a peer's last message at which its windows are dropped: retransmissions end after
 * 150 ms (`hop-sender.ts`), and a paused process delays datagrams by seconds.
 */
const WINDOW_LIFETIME_MS = 30_000;

interface SessionWindow {
  readonly session: number;
  readonly window: SequenceWindow;
}

interface PeerWindows {
  current: SessionWindow;
  previous: SessionWindow | undefined;
  usedAt: number;
}

/** Duplicate detection of one node. */
export class HopReceiver {
  private readonly peers = new Map<Endpoint, PeerWindows>();

  /**
   * Records the number of a received message.
   * @returns whether the message is received for the first time
   */
  recordReceived(peer: Endpoint, { session, sequence }: HopNumber, now: number): boolean {
    return this.getOrCreateWindow(peer, session, now).add(sequence);
  }

  /** Drops the windows of idle peers. */
  expire(now: number): void {
    for (const [peer, { usedAt }] of this.peers) {
      if (now - usedAt > WINDOW_LIFETIME_MS) {
        this.peers.delete(peer);
      }
    }
  }

  private getOrCreateWindow(peer: Endpoint, session: number, now: number): SequenceWindow {
    const known = this.peers.get(peer);
    if (!known) {
      return this.addPeer(peer, session, now);
    }
    known.usedAt = now;
    if (known.current.session === session) {
      return known.current.window;
    }
    if (known.previous?.session === session) {
      return known.previous.window;
    }
    known.previous = known.current;
    known.current = { session, window: new SequenceWindow() };
    return known.current.window;
  }

  private addPeer(peer: Endpoint, session: number, now: number): SequenceWindow {
    if (this.peers.size >= MAXIMUM_PEERS) {
      const [first] = this.peers.keys();
      this.peers.delete(first!);
    }
    const window = new SequenceWindow();
    this.peers.set(peer, { current: { session, window }, previous: undefined, usedAt: now });
    return window;
  }
}
