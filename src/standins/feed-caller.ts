/** Caller that observes a feed, such as a kiosk or a carrier's status feed. */
import { CoapCode, CoapOption, encodeInteger, type CoapMessage } from '../coap/coap-message';
import type { TimerHandle } from '../environment';
import { recordFailure, parseContent, createPathOptions, getRetryDelayMs } from './answer-content';
import { CoapCaller, type CallerContext } from './caller';

/** Keeps a feed open and detects when its notifications cease. */
export class FeedCaller extends CoapCaller {
  private token: Buffer | undefined;
  private lastSequence = -1;
  private notificationTimer: TimerHandle | undefined;

  /** @param notificationTimeoutMs milliseconds without a notification after which the feed counts as broken */
  constructor(
    context: CallerContext,
    private readonly path: string,
    private readonly notificationTimeoutMs: number,
  ) {
    super(context);
  }

  start(): void {
    this.register();
  }

  override stop(): void {
    super.stop();
    this.notificationTimer?.cancel();
  }

  private register(): void {
    if (this.stopped) {
      return;
    }
    const { environment, statistics } = this.context;
    const sentAt = environment.now();
    statistics.requestsSent++;
    const options = [
      { name: CoapOption.observe, value: encodeInteger(0) },
      ...createPathOptions(this.path),
    ];
    const request = { method: 'GET' as const, options, payload: Buffer.alloc(0) };
    this.token = this.client.request(request, (answer) =>
      this.handleRegistrationAnswer(answer, sentAt),
    );
  }

  private handleRegistrationAnswer(answer: CoapMessage | undefined, sentAt: number): void {
    const { environment, statistics } = this.context;
    if (answer?.code === CoapCode.content) {
      statistics.answersWhole++;
      statistics.recordLatency('feed', environment.now() - sentAt);
      this.handleContent(answer);
      return;
    }
    recordFailure(statistics, answer);
    environment.startTimer(getRetryDelayMs(answer), () => this.register());
  }

  protected override handleNotification(message: CoapMessage): void {
    const isOwn = this.token !== undefined && message.token.equals(this.token);
    this.client.respond(message, isOwn ? 'acknowledge' : 'reset');
    if (isOwn) {
      this.context.statistics.notifications++;
      this.handleContent(message);
    }
  }

  private handleContent(message: CoapMessage): void {
    const content = parseContent(message.payload);
    if (!content || content.path !== this.path) {
      const got = message.payload.toString();
      this.context.statistics.recordWrongAnswer(`feed ${this.path} got ${got}`);
      return;
    }
    this.judge.checkHost(content);
    this.lastSequence = Math.max(this.lastSequence, content.sequence ?? 0);
    this.restartNotificationTimer();
  }

  private restartNotificationTimer(): void {
    this.notificationTimer?.cancel();
    this.notificationTimer = this.context.environment.startTimer(this.notificationTimeoutMs, () => {
      this.judge.markBroken('silent');
      this.judge.reset();
      this.register();
    });
  }
}
