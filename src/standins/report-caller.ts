/** Caller of non-idempotent requests, such as staff reports and port orders. */
import { CoapCode, CoapOption, findOption, type CoapMessage } from '../coap/coap-message';
import {
  recordFailure,
  isUnauthorized,
  parseContent,
  createPathOptions,
  getRetryDelayMs,
} from './answer-content';
import { CoapCaller, type CallerContext } from './caller';

const MAXIMUM_PERMIT_RETRIES = 4;

/** Sends non-idempotent reports, one after the other. */
export class ReportCaller extends CoapCaller {
  private echo: Buffer | undefined;
  private reportNumber = 0;

  /**
   * @param name unique among callers; prefix of every report id
   * @param meanIntervalMs mean milliseconds between reports
   */
  constructor(
    context: CallerContext,
    private readonly name: string,
    private readonly meanIntervalMs: number,
  ) {
    super(context);
  }

  start(): void {
    this.scheduleNext();
  }

  private scheduleNext(): void {
    const { environment } = this.context;
    const wait = -Math.log(1 - environment.random()) * this.meanIntervalMs;
    environment.startTimer(wait, () => {
      if (!this.stopped) {
        this.reportNumber++;
        this.sendAttempt(1, 0);
      }
    });
  }

  private sendAttempt(attempt: number, permitRetries: number): void {
    if (this.stopped) {
      return;
    }
    const { environment, statistics } = this.context;
    const sentAt = environment.now();
    const id = `${this.name}-${this.reportNumber}#${attempt}`;
    statistics.requestsSent++;
    const echo = this.echo ? [{ name: CoapOption.echo, value: this.echo }] : [];
    this.echo = undefined;
    const options = [...createPathOptions('reports'), ...echo];
    const request = { method: 'POST' as const, options, payload: Buffer.from(id) };
    this.client.request(request, (answer) =>
      this.handleAnswer(id, attempt, permitRetries, sentAt, answer),
    );
  }

  private handleAnswer(
    id: string,
    attempt: number,
    permitRetries: number,
    sentAt: number,
    answer: CoapMessage | undefined,
  ): void {
    this.echo = answer && findOption(answer, CoapOption.echo);
    const { environment, record, statistics } = this.context;
    if (isUnauthorized(answer) && permitRetries < MAXIMUM_PERMIT_RETRIES) {
      record.recordRefused(id);
      this.sendAttempt(attempt + 1, permitRetries + 1);
    } else if (answer?.code === CoapCode.serviceUnavailable || isUnauthorized(answer)) {
      record.recordRefused(id);
      statistics.refusedNotRun++;
      environment.startTimer(getRetryDelayMs(answer), () => this.sendAttempt(attempt + 1, 0));
    } else {
      this.handleFinalAnswer(id, sentAt, answer);
      this.scheduleNext();
    }
  }

  private handleFinalAnswer(id: string, sentAt: number, answer: CoapMessage | undefined): void {
    const { environment, statistics } = this.context;
    if (answer?.code !== CoapCode.changed) {
      recordFailure(statistics, answer);
      return;
    }
    const content = parseContent(answer.payload);
    if (content?.done !== id) {
      statistics.recordWrongAnswer(`report ${id} got ${answer.payload.toString()}`);
      return;
    }
    if (this.judge.checkService(content)) {
      this.judge.markOpened();
      statistics.answersWhole++;
      statistics.recordLatency('report', environment.now() - sentAt);
    }
  }
}
