/** A caller that sends requests which may not be repeated: staff reports, port orders. */
import { CoapCode, CoapOption, findOption, type CoapMessage } from '../coap/coap-message';
import {
  countFailure,
  isUnauthorized,
  parseContent,
  pathOptions,
  retryAfter,
} from './answer-content';
import { CoapCaller, type CallerSurroundings } from './caller';

const PERMIT_ROUNDS_MAXIMUM = 4;

/** Sends reports that may not be repeated, one after the other. */
export class ReportCaller extends CoapCaller {
  private echo: Buffer | undefined;
  private reportNumber = 0;

  /**
   * @param name unique among callers; goes into every report's id
   * @param interval mean milliseconds between reports
   */
  constructor(
    surroundings: CallerSurroundings,
    private readonly name: string,
    private readonly interval: number,
  ) {
    super(surroundings);
  }

  start(): void {
    this.scheduleNext();
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
