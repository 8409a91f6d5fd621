/**
 * The receiving half of hop repair: takes each numbered message once. Pure.
 *
 * A window belongs to a session, not to a node: a sender that restarts or has forgotten its
 * numbers draws another session, so its messages are never taken for repeats. A jump of the
 * numbers could not tell that, since new numbers may begin anywhere, close to the old ones too.
 * The session before is kept as well, for its messages that are still under way.
 */
import type { Endpoint } from '../../environment';
import type { HopNumber } from '../packet-messages';
import { SequenceWindow } from './sequence-window';

/** Nodes noted; beyond that the one noted first is forgotten. As many as `PacketLink` notes. */
const MAXIMUM_PEERS = 20_000;
/**
 * Milliseconds after the last message of a node after which its windows are dropped: repeats end
 * after 150 ms (`hop-sender.ts`), and a frozen process holds datagrams back for seconds.
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

/** The receiver of one node. */
export class HopReceiver {
  private readonly peers = new Map<Endpoint, PeerWindows>();

  /**
   * Takes the number of a message.
   * @returns whether the message comes for the first time
   */
  recordReceived(peer: Endpoint, { session, sequence }: HopNumber, now: number): boolean {
    return this.getOrCreateWindow(peer, session, now).add(sequence);
  }

  /** Drops the windows of nodes that have sent nothing for long. */
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
