/** Caller of a datagram service. */
import { parseContent } from './answer-content';
import type { Caller, CallerContext } from './caller';
import { FlowJudge } from './flow-judge';

/** Sends numbered datagrams and checks that all echoes come from the same target. */
export class DatagramCaller implements Caller {
  private readonly judge: FlowJudge;
  private number = 0;
  private sentAt = 0;
  private stopped = false;

  /** @param intervalMs milliseconds between datagrams */
  constructor(
    private readonly context: CallerContext,
    private readonly name: string,
    private readonly intervalMs: number,
  ) {
    this.judge = new FlowJudge(context);
  }

  start(): void {
    if (this.stopped) {
      return;
    }
    const { environment, statistics } = this.context;
    this.number++;
    this.sentAt = environment.now();
    statistics.requestsSent++;
    this.context.send(Buffer.from(`${this.name}-${this.number}`));
    environment.startTimer(this.intervalMs, () => this.start());
  }

  receive(datagram: Buffer): void {
    const { environment, statistics } = this.context;
    const content = parseContent(datagram);
    if (!content?.echo?.startsWith(`${this.name}-`)) {
      statistics.recordWrongAnswer(`datagram of ${this.name} got ${datagram.toString()}`);
      return;
    }
    this.judge.checkHost(content);
    if (content.echo === `${this.name}-${this.number}`) {
      statistics.answersWhole++;
      statistics.recordLatency('datagram', environment.now() - this.sentAt);
    }
  }

  stop(): void {
    this.stopped = true;
  }
}
