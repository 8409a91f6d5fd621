/**
 * Callers of the two offices: feeds, reports that may not be repeated, transfers in
 * blocks, and plain datagrams. Each judges the answers it gets: whether they are
 * whole, its own, from the right service and from the back end where its flow began.
 */
import {
  CoapCode,
  CoapOption,
  encodeInteger,
  findOption,
  integerOption,
  type CoapMessage,
} from '../coap/coap-message';
import type { Environment, TimerHandle } from '../environment';
import { CoapClient } from './coap-client';
import { tileContent, type AnswerOrigin } from './backend-standin';
import type { CallerStatistics } from './caller-statistics';
import type { RunRecord } from './run-record';

const RETRY_AFTER_SILENCE = 5_000;
const DEFAULT_RETRY_AFTER = 1;
const SECOND = 1_000;
const BLOCK_NUMBER_SHIFT = 4;
const MORE_BLOCKS = 8;
const BLOCK_SIZE_EXPONENT = 6;
const RESTARTS_MAXIMUM = 50;
const PERMIT_ROUNDS_MAXIMUM = 4;

/** What every caller needs. */
export interface CallerSurroundings {
  readonly environment: Environment;
  readonly statistics: CallerStatistics;
  readonly record: RunRecord;
  /** The service the caller means to reach. */
  readonly service: string;
  /** Sends on the caller's own socket. */
  send(datagram: Buffer): void;
}

/** One caller: one flow. */
export interface Caller {
  start(): void;
  receive(datagram: Buffer): void;
  stop(): void;
}

/** What the caller knows of where its flow began. */
class FlowJudge {
  private first: AnswerOrigin | undefined;
  private broken = false;

  constructor(private readonly surroundings: CallerSurroundings) {}

  get established(): boolean {
    return this.first !== undefined;
  }

  /** Judges the origin of an answer that the flow's own host must give. */
  judgeHost(origin: AnswerOrigin): void {
    if (!this.judgeService(origin)) {
      return;
    }
    if (!this.first) {
      this.first = origin;
      this.surroundings.statistics.flowsOpened++;
    } else if (origin.target !== this.first.target || origin.run !== this.first.run) {
      this.markBroken('moved');
    }
  }

  /** Judges the origin of an answer that any target of the service may give. */
  judgeService(origin: AnswerOrigin): boolean {
    const right = origin.service === this.surroundings.service;
    if (!right) {
      this.surroundings.statistics.misdelivered++;
    }
    return right;
  }

  /** A flow without a host-bound answer counts as opened with its first whole answer. */
  markOpened(): void {
    if (!this.first) {
      this.first = { service: this.surroundings.service, target: '', run: 0 };
      this.surroundings.statistics.flowsOpened++;
    }
  }

  /** Counts the flow as broken, once. */
  markBroken(reason: string): void {
    if (this.first && !this.broken) {
      this.broken = true;
      this.surroundings.statistics.noteBroken(reason, this.first.service, this.first.target);
    }
  }

  /** The caller begins a new flow. */
  reset(): void {
    this.first = undefined;
    this.broken = false;
  }
}

/** Holds a feed open and watches that it goes on. */
export class FeedCaller implements Caller {
  private readonly client: CoapClient;
  private readonly judge: FlowJudge;
  private token: Buffer | undefined;
  private lastSequence = -1;
  private silence: TimerHandle | undefined;
  private stopped = false;

  /** @param silenceLimit milliseconds without a notification after which the feed is broken */
  constructor(
    private readonly surroundings: CallerSurroundings,
    private readonly path: string,
    private readonly silenceLimit: number,
  ) {
    this.judge = new FlowJudge(surroundings);
    this.client = new CoapClient(
      surroundings.environment,
      (datagram) => surroundings.send(datagram),
      (message) => this.receiveNotification(message),
    );
  }

  start(): void {
    this.register();
  }

  receive(datagram: Buffer): void {
    this.client.receive(datagram);
  }

  stop(): void {
    this.stopped = true;
    this.silence?.cancel();
    this.client.close();
  }

  private register(): void {
    if (this.stopped) {
      return;
    }
    const { environment, statistics } = this.surroundings;
    const sentAt = environment.now();
    statistics.requestsSent++;
    const options = [
      { name: CoapOption.observe, value: encodeInteger(0) },
      ...pathOptions(this.path),
    ];
    const request = { method: 'GET' as const, options, payload: Buffer.alloc(0) };
    this.token = this.client.request(request, (answer) => this.registered(answer, sentAt));
  }

  private registered(answer: CoapMessage | undefined, sentAt: number): void {
    const { environment, statistics } = this.surroundings;
    if (answer?.code === CoapCode.content) {
      statistics.answersWhole++;
      statistics.noteLatency('feed', environment.now() - sentAt);
      this.takeContent(answer);
      return;
    }
    countFailure(statistics, answer);
    environment.startTimer(retryAfter(answer), () => this.register());
  }

  private receiveNotification(message: CoapMessage): void {
    const isOwn = this.token !== undefined && message.token.equals(this.token);
    this.client.respond(message, isOwn ? 'acknowledge' : 'reset');
    if (isOwn) {
      this.surroundings.statistics.notifications++;
      this.takeContent(message);
    }
  }

  private takeContent(message: CoapMessage): void {
    const content = parseContent(message.payload);
    if (!content || content.path !== this.path) {
      const got = message.payload.toString();
      this.surroundings.statistics.noteWrongAnswer(`feed ${this.path} got ${got}`);
      return;
    }
    this.judge.judgeHost(content);
    this.lastSequence = Math.max(this.lastSequence, content.sequence ?? 0);
    this.watchSilence();
  }

  private watchSilence(): void {
    this.silence?.cancel();
    this.silence = this.surroundings.environment.startTimer(this.silenceLimit, () => {
      this.judge.markBroken('silent');
      this.judge.reset();
      this.register();
    });
  }
}

/** Sends reports that may not be repeated, one after the other. */
export class ReportCaller implements Caller {
  private readonly client: CoapClient;
  private readonly judge: FlowJudge;
  private echo: Buffer | undefined;
  private reportNumber = 0;
  private stopped = false;

  /**
   * @param name unique among callers; goes into every report's id
   * @param interval mean milliseconds between reports
   */
  constructor(
    private readonly surroundings: CallerSurroundings,
    private readonly name: string,
    private readonly interval: number,
  ) {
    this.judge = new FlowJudge(surroundings);
    this.client = new CoapClient(
      surroundings.environment,
      (datagram) => surroundings.send(datagram),
      (message) => this.client.respond(message, 'reset'),
    );
  }

  start(): void {
    this.scheduleNext();
  }

  receive(datagram: Buffer): void {
    this.client.receive(datagram);
  }

  stop(): void {
    this.stopped = true;
    this.client.close();
  }

  private scheduleNext(): void {
    const { environment } = this.surroundings;
    const wait = -Math.log(1 - environment.random()) * this.interval;
    environment.startTimer(wait, () => {
      if (!this.stopped) {
        this.reportNumber++;
        this.sendAttempt(1, 0);
      }
    });
  }

  private sendAttempt(attempt: number, permitRounds: number): void {
    if (this.stopped) {
      return;
    }
    const { environment, statistics } = this.surroundings;
    const sentAt = environment.now();
    const id = `${this.name}-${this.reportNumber}#${attempt}`;
    statistics.requestsSent++;
    const echo = this.echo ? [{ name: CoapOption.echo, value: this.echo }] : [];
    this.echo = undefined;
    const options = [...pathOptions('reports'), ...echo];
    const request = { method: 'POST' as const, options, payload: Buffer.from(id) };
    this.client.request(request, (answer) =>
      this.answered(id, attempt, permitRounds, sentAt, answer),
    );
  }

  private answered(
    id: string,
    attempt: number,
    permitRounds: number,
    sentAt: number,
    answer: CoapMessage | undefined,
  ): void {
    this.echo = answer && findOption(answer, CoapOption.echo);
    const { environment, record, statistics } = this.surroundings;
    if (isUnauthorized(answer) && permitRounds < PERMIT_ROUNDS_MAXIMUM) {
      record.noteRefused(id);
      this.sendAttempt(attempt + 1, permitRounds + 1);
    } else if (answer?.code === CoapCode.serviceUnavailable || isUnauthorized(answer)) {
      record.noteRefused(id);
      statistics.refusedNotRun++;
      environment.startTimer(retryAfter(answer), () => this.sendAttempt(attempt + 1, 0));
    } else {
      this.concluded(id, sentAt, answer);
      this.scheduleNext();
    }
  }

  private concluded(id: string, sentAt: number, answer: CoapMessage | undefined): void {
    const { environment, statistics } = this.surroundings;
    if (answer?.code !== CoapCode.changed) {
      countFailure(statistics, answer);
      return;
    }
    const content = parseContent(answer.payload);
    if (content?.done !== id) {
      statistics.noteWrongAnswer(`report ${id} got ${answer.payload.toString()}`);
      return;
    }
    if (this.judge.judgeService(content)) {
      this.judge.markOpened();
      statistics.answersWhole++;
      statistics.noteLatency('report', environment.now() - sentAt);
    }
  }
}

/** Fetches tiles or snapshots block by block, one after the other. */
export class TransferCaller implements Caller {
  private readonly client: CoapClient;
  private readonly judge: FlowJudge;
  private tile = 0;
  private stopped = false;

  /**
   * @param interval milliseconds between transfers
   * @param bytes size of each transfer
   */
  constructor(
    private readonly surroundings: CallerSurroundings,
    private readonly name: string,
    private readonly interval: number,
    private readonly bytes: number,
  ) {
    this.judge = new FlowJudge(surroundings);
    this.client = new CoapClient(
      surroundings.environment,
      (datagram) => surroundings.send(datagram),
      (message) => this.client.respond(message, 'reset'),
    );
  }

  start(): void {
    this.startTransfer();
  }

  receive(datagram: Buffer): void {
    this.client.receive(datagram);
  }

  stop(): void {
    this.stopped = true;
    this.client.close();
  }

  private startTransfer(): void {
    if (this.stopped) {
      return;
    }
    this.tile++;
    const path = `tiles/${this.name}-${this.tile}`;
    this.fetchBlock(path, 0, [], undefined, 0);
  }

  private fetchBlock(
    path: string,
    block: number,
    received: readonly Buffer[],
    etag: Buffer | undefined,
    restarts: number,
  ): void {
    if (this.stopped) {
      return;
    }
    const { environment, statistics } = this.surroundings;
    const sentAt = environment.now();
    statistics.requestsSent++;
    const value = encodeInteger((block << BLOCK_NUMBER_SHIFT) | BLOCK_SIZE_EXPONENT);
    const options = [...pathOptions(path), { name: CoapOption.block2, value }];
    this.client.request({ method: 'GET', options, payload: Buffer.alloc(0) }, (answer) => {
      if (answer?.code !== CoapCode.content) {
        this.blockFailed(path, block, received, etag, restarts, answer);
        return;
      }
      statistics.answersWhole++;
      statistics.noteLatency('transfer', environment.now() - sentAt);
      this.takeBlock(path, block, received, etag, answer);
    });
  }

  private blockFailed(
    path: string,
    block: number,
    received: readonly Buffer[],
    etag: Buffer | undefined,
    restarts: number,
    answer: CoapMessage | undefined,
  ): void {
    const { environment, statistics } = this.surroundings;
    countFailure(statistics, answer);
    if (restarts >= RESTARTS_MAXIMUM) {
      this.judge.markBroken('transfer');
      return;
    }
    environment.startTimer(retryAfter(answer), () =>
      this.fetchBlock(path, block, received, etag, restarts + 1),
    );
  }

  private takeBlock(
    path: string,
    block: number,
    received: readonly Buffer[],
    etag: Buffer | undefined,
    answer: CoapMessage,
  ): void {
    const gotEtag = findOption(answer, CoapOption.etag);
    if (etag && gotEtag && !etag.equals(gotEtag)) {
      this.judge.markBroken('etag');
    }
    this.judge.markOpened();
    const blocks = [...received, answer.payload];
    const value = integerOption(findOption(answer, CoapOption.block2)) ?? 0;
    if ((value & MORE_BLOCKS) !== 0) {
      this.fetchBlock(path, block + 1, blocks, gotEtag, 0);
      return;
    }
    this.judgeContent(path, Buffer.concat(blocks));
    this.surroundings.environment.startTimer(this.interval, () => this.startTransfer());
  }

  private judgeContent(path: string, content: Buffer): void {
    const { service, statistics } = this.surroundings;
    if (content.equals(tileContent(service, path, this.bytes))) {
      return;
    }
    if (content.subarray(0, service.length + 1).toString() === `${service}:`) {
      statistics.noteWrongAnswer(`transfer ${path} got ${content.length} bytes of another`);
    } else {
      statistics.misdelivered++;
    }
  }
}

/** Sends numbered datagrams to a datagram service and checks who answers. */
export class DatagramCaller implements Caller {
  private readonly judge: FlowJudge;
  private number = 0;
  private sentAt = 0;
  private stopped = false;

  /** @param interval milliseconds between datagrams */
  constructor(
    private readonly surroundings: CallerSurroundings,
    private readonly name: string,
    private readonly interval: number,
  ) {
    this.judge = new FlowJudge(surroundings);
  }

  start(): void {
    if (this.stopped) {
      return;
    }
    const { environment, statistics } = this.surroundings;
    this.number++;
    this.sentAt = environment.now();
    statistics.requestsSent++;
    this.surroundings.send(Buffer.from(`${this.name}-${this.number}`));
    environment.startTimer(this.interval, () => this.start());
  }

  receive(datagram: Buffer): void {
    const { environment, statistics } = this.surroundings;
    const content = parseContent(datagram);
    if (!content?.echo?.startsWith(`${this.name}-`)) {
      statistics.noteWrongAnswer(`datagram of ${this.name} got ${datagram.toString()}`);
      return;
    }
    this.judge.judgeHost(content);
    if (content.echo === `${this.name}-${this.number}`) {
      statistics.answersWhole++;
      statistics.noteLatency('datagram', environment.now() - this.sentAt);
    }
  }

  stop(): void {
    this.stopped = true;
  }
}

interface AnswerContent extends AnswerOrigin {
  readonly path?: string;
  readonly sequence?: number;
  readonly done?: string;
  readonly echo?: string;
}

function parseContent(payload: Buffer): AnswerContent | undefined {
  try {
    return JSON.parse(payload.toString()) as AnswerContent;
  } catch {
    return undefined;
  }
}

function pathOptions(path: string): CoapMessage['options'] {
  return path
    .split('/')
    .map((segment) => ({ name: CoapOption.uriPath, value: Buffer.from(segment) }));
}

function countFailure(statistics: CallerStatistics, answer: CoapMessage | undefined): void {
  if (answer === undefined) {
    statistics.noteUnanswered();
  } else if (answer.code === CoapCode.serviceUnavailable) {
    statistics.refusedNotRun++;
  } else if (answer.code === CoapCode.gatewayTimeout) {
    statistics.noteUnknown();
  } else {
    statistics.noteWrongAnswer(`a request got code ${answer.code}`);
  }
}

/** Not run, for want of a valid permit. */
function isUnauthorized(answer: CoapMessage | undefined): boolean {
  return answer?.code === CoapCode.unauthorized;
}

function retryAfter(answer: CoapMessage | undefined): number {
  if (!answer) {
    return RETRY_AFTER_SILENCE;
  }
  return (integerOption(findOption(answer, CoapOption.maxAge)) ?? DEFAULT_RETRY_AFTER) * SECOND;
}
