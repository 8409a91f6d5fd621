/** A caller that holds a feed: a kiosk, a carrier's status feed. */
import { CoapCode, CoapOption, encodeInteger, type CoapMessage } from '../coap/coap-message';
import type { TimerHandle } from '../environment';
import { countFailure, parseContent, pathOptions, retryAfter } from './answer-content';
import { CoapCaller, type CallerSurroundings } from './caller';

/** Holds a feed open and watches that it goes on. */
export class FeedCaller extends CoapCaller {
  private token: Buffer | undefined;
  private lastSequence = -1;
  private silence: TimerHandle | undefined;

  /** @param silenceLimit milliseconds without a notification after which the feed is broken */
  constructor(
    surroundings: CallerSurroundings,
    private readonly path: string,
    private readonly silenceLimit: number,
  ) {
    super(surroundings);
  }

  start(): void {
    this.register();
  }

  override stop(): void {
    super.stop();
    this.silence?.cancel();
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

  protected override receiveNotification(message: CoapMessage): void {
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
