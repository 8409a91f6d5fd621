/** A caller of a datagram service. */
import { parseContent } from './answer-content';
import type { Caller, CallerSurroundings } from './caller';
import { FlowJudge } from './flow-judge';

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
