/**
 * Back-end server for tests and demos: feeds, non-idempotent reports, block-wise tiles and a
 * load report. It records the requests that it ran, to be compared with the callers' results.
 *
 * Resources: `feed/NAME` (observable), `reports` (POST), `tiles/NAME` (Block2 with
 * ETag), `load`, and any other path as a plain answer.
 */
import murmurhash from 'murmurhash';
import {
  CoapCode,
  CoapOption,
  encodeInteger,
  findOption,
  generateCoap,
  decodeInteger,
  isObserveRegistration,
  isPost,
  parseCoap,
  getUriPath,
  type CoapMessage,
} from '../coap/coap-message';
import type { Endpoint, Environment, TimerHandle } from '../environment';
import type { RunRecord } from './run-record';

const BLOCK_SIZE_EXPONENT = 6;
const BLOCK_BYTES = 1_024;
const BLOCK_NUMBER_SHIFT = 4;
const MORE_BLOCKS_FLAG = 8;
const NOTIFICATION_TIMEOUT_MS = 2_000;
const MAXIMUM_NOTIFICATION_RETRANSMISSIONS = 4;
const MESSAGE_ID_RANGE = 65_536;
/** Factor of the mean service time at a cold start; it falls to 1 within `COLD_START_MS`. */
const COLD_START_FACTOR = 4;
const COLD_START_MS = 10_000;

/** Identifies in an answer the back end that sent it. */
export interface AnswerOrigin {
  readonly service: string;
  readonly target: string;
  /** Incarnation of the back end; a new incarnation has lost its feeds. */
  readonly run: number;
}

/** Options of a back-end stand-in. */
export interface BackendOptions extends AnswerOrigin {
  /** Mean service time of a request in milliseconds; exponentially distributed. */
  readonly serviceTime: number;
  /** Milliseconds between notifications of a feed. */
  readonly feedInterval: number;
  readonly tileBytes: number;
}

interface PendingNotification {
  readonly messageId: number;
  readonly datagram: Buffer;
  attempts: number;
  /** Whether the feed has newer content. */
  stale: boolean;
}

interface Feed {
  readonly peer: Endpoint;
  readonly token: Buffer;
  readonly path: string;
  sequence: number;
  unacknowledged: PendingNotification | undefined;
  ended: boolean;
}

/** A back end with its requests in flight and its feeds. */
export class BackendStandin {
  /** Set by tests: refuse all requests with 5.03. */
  shedding = false;
  /** Set by tests: the `draining` field of the load report. */
  draining = false;
  /** Set by tests: reported instead of the actual load, for a back end with a false report. */
  reportedLoad: number | undefined;
  /** Highest number of requests that ran at once. */
  peakRunningRequests = 0;
  private readonly feeds = new Map<string, Feed>();
  private readonly running = new Map<string, TimerHandle>();
  private readonly startedAt: number;
  private nextMessageId: number;
  private stopped = false;

  constructor(
    readonly options: BackendOptions,
    private readonly environment: Environment,
    private readonly record: RunRecord,
    private readonly send: (to: Endpoint, datagram: Buffer) => void,
  ) {
    this.startedAt = environment.now();
    this.nextMessageId = Math.floor(environment.random() * MESSAGE_ID_RANGE);
  }

  /** Number of requests that run now. */
  get runningRequestCount(): number {
    return this.running.size;
  }

  /** Number of open feeds. */
  get feedCount(): number {
    return this.feeds.size;
  }

  /** Cancels all requests and feeds; later datagrams and timers have no effect. */
  stop(): void {
    this.stopped = true;
    this.running.forEach((timer) => timer.cancel());
    this.feeds.forEach((feed) => (feed.ended = true));
  }

  /** Handles a datagram of a coap service. */
  receive(datagram: Buffer, from: Endpoint): void {
    const parsed = parseCoap(datagram);
    if (parsed.none || this.stopped) {
      return;
    }
    const message = parsed.val;
    if (message.code === CoapCode.empty) {
      this.handleEmptyMessage(message, from);
    } else if (getUriPath(message) === 'load') {
      this.answerLoad(message, from);
    } else {
      this.startRequest(message, from);
    }
  }

  /** Handles a datagram of a datagram service: answers with its origin and an echo. */
  receiveDatagram(datagram: Buffer, from: Endpoint): void {
    if (!this.stopped) {
      this.send(
        from,
        Buffer.from(JSON.stringify({ ...this.getOrigin(), echo: datagram.toString() })),
      );
    }
  }

  private getOrigin(): AnswerOrigin {
    const { service, target, run } = this.options;
    return { service, target, run };
  }

  private handleEmptyMessage(message: CoapMessage, from: Endpoint): void {
    const key = createRequestKey(from, message.messageId);
    const running = this.running.get(key);
    if (message.reset && running) {
      running.cancel();
      this.running.delete(key);
    }
    for (const [feedKey, feed] of this.feeds) {
      if (feed.peer === from && feed.unacknowledged?.messageId === message.messageId) {
        feed.unacknowledged = undefined;
        if (message.reset) {
          this.endFeed(feedKey, feed);
        }
      }
    }
  }

  private answerLoad(message: CoapMessage, from: Endpoint): void {
    const load = this.reportedLoad ?? Math.min(1, this.running.size / 4);
    const report = { load, draining: this.draining };
    this.answer(message, from, CoapCode.content, Buffer.from(JSON.stringify(report)), []);
  }

  private startRequest(message: CoapMessage, from: Endpoint): void {
    if (this.shedding) {
      const maxAge = { name: CoapOption.maxAge, value: encodeInteger(1) };
      this.answer(message, from, CoapCode.serviceUnavailable, Buffer.alloc(0), [maxAge]);
      return;
    }
    const key = createRequestKey(from, message.messageId);
    if (this.running.has(key)) {
      return;
    }
    if (isPost(message)) {
      this.record.recordRun(message.payload.toString());
    }
    const timer = this.environment.startTimer(this.drawServiceTime(), () => {
      this.running.delete(key);
      this.finishRequest(message, from);
    });
    this.running.set(key, timer);
    this.peakRunningRequests = Math.max(this.peakRunningRequests, this.running.size);
  }

  private drawServiceTime(): number {
    const age = this.environment.now() - this.startedAt;
    const coldness = Math.max(0, 1 - age / COLD_START_MS);
    const mean = this.options.serviceTime * (1 + (COLD_START_FACTOR - 1) * coldness);
    return -Math.log(1 - this.environment.random()) * mean;
  }

  private finishRequest(message: CoapMessage, from: Endpoint): void {
    const path = getUriPath(message);
    if (isPost(message)) {
      const done = { ...this.getOrigin(), done: message.payload.toString() };
      this.answer(message, from, CoapCode.changed, Buffer.from(JSON.stringify(done)), []);
    } else if (path.startsWith('tiles/')) {
      this.answerBlock(message, from, path);
    } else if (path.startsWith('feed/') && isObserveRegistration(message)) {
      this.openFeed(message, from, path);
    } else {
      const content = { ...this.getOrigin(), path };
      this.answer(message, from, CoapCode.content, Buffer.from(JSON.stringify(content)), []);
    }
  }

  private answerBlock(message: CoapMessage, from: Endpoint, path: string): void {
    const content = createTileContent(this.options.service, path, this.options.tileBytes);
    const requestedBlock = decodeInteger(findOption(message, CoapOption.block2)) ?? 0;
    const block = requestedBlock >> BLOCK_NUMBER_SHIFT;
    const start = block * BLOCK_BYTES;
    const more = start + BLOCK_BYTES < content.length ? MORE_BLOCKS_FLAG : 0;
    const value = (block << BLOCK_NUMBER_SHIFT) | more | BLOCK_SIZE_EXPONENT;
    const etag = Buffer.alloc(4);
    etag.writeUInt32BE(murmurhash.v3(content));
    this.answer(message, from, CoapCode.content, content.subarray(start, start + BLOCK_BYTES), [
      { name: CoapOption.etag, value: etag },
      { name: CoapOption.block2, value: encodeInteger(value) },
    ]);
  }

  private openFeed(message: CoapMessage, from: Endpoint, path: string): void {
    const key = `${from}/${message.token.toString('hex')}`;
    const previous = this.feeds.get(key);
    if (previous) {
      previous.ended = true;
    }
    const feed: Feed = {
      peer: from,
      token: message.token,
      path,
      sequence: 1,
      unacknowledged: undefined,
      ended: false,
    };
    this.feeds.set(key, feed);
    const observe = { name: CoapOption.observe, value: encodeInteger(feed.sequence) };
    this.answer(message, from, CoapCode.content, this.encodeFeedContent(feed), [observe]);
    this.scheduleNotification(key, feed);
  }

  private scheduleNotification(key: string, feed: Feed): void {
    this.environment.startTimer(this.options.feedInterval, () => {
      if (!feed.ended && !this.stopped) {
        this.notify(key, feed);
        this.scheduleNotification(key, feed);
      }
    });
  }

  /**
   * A newer notification replaces an unacknowledged one and is sent when that one's
   * retransmission is due (RFC 7641, section 4.5.2).
   */
  private notify(key: string, feed: Feed): void {
    feed.sequence++;
    const pending = feed.unacknowledged;
    if (pending) {
      pending.stale = true;
      return;
    }
    this.transmitNewNotification(key, feed, 0);
  }

  private transmitNewNotification(key: string, feed: Feed, attempts: number): void {
    const messageId = this.allocateMessageId();
    const datagram = generateCoap({
      code: CoapCode.content,
      confirmable: true,
      messageId,
      token: feed.token,
      options: [{ name: CoapOption.observe, value: encodeInteger(feed.sequence) }],
      payload: this.encodeFeedContent(feed),
    });
    feed.unacknowledged = { messageId, datagram, attempts, stale: false };
    this.transmit(key, feed, messageId);
  }

  private transmit(key: string, feed: Feed, messageId: number): void {
    const pending = feed.unacknowledged;
    if (pending?.messageId !== messageId || feed.ended || this.stopped) {
      return;
    }
    if (pending.attempts > MAXIMUM_NOTIFICATION_RETRANSMISSIONS) {
      this.endFeed(key, feed);
    } else if (pending.stale) {
      this.transmitNewNotification(key, feed, pending.attempts);
    } else {
      const wait = NOTIFICATION_TIMEOUT_MS * 2 ** pending.attempts;
      pending.attempts++;
      this.send(feed.peer, pending.datagram);
      this.environment.startTimer(wait, () => this.transmit(key, feed, messageId));
    }
  }

  private endFeed(key: string, feed: Feed): void {
    feed.ended = true;
    this.feeds.delete(key);
  }

  private encodeFeedContent(feed: Feed): Buffer {
    const content = { ...this.getOrigin(), path: feed.path, sequence: feed.sequence };
    return Buffer.from(JSON.stringify(content));
  }

  private answer(
    request: CoapMessage,
    to: Endpoint,
    code: string,
    payload: Buffer,
    options: CoapMessage['options'],
  ): void {
    const { messageId, token } = request;
    const packet = { code, ack: true, messageId, token, options, payload };
    this.send(to, generateCoap(packet));
  }

  private allocateMessageId(): number {
    this.nextMessageId = (this.nextMessageId + 1) % MESSAGE_ID_RANGE;
    return this.nextMessageId;
  }
}

/** Creates the content of a tile of `bytes` bytes; the same at every target of a service. */
export function createTileContent(service: string, path: string, bytes: number): Buffer {
  return Buffer.alloc(bytes, `${service}:${path};`);
}

function createRequestKey(from: Endpoint, messageId: number): string {
  return `${from}/${messageId}`;
}
