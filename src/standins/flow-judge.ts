/** Judges whether answers come from the back end where a flow began. */
import type { AnswerOrigin } from './backend-standin';
import type { CallerSurroundings } from './caller';

/** What the caller knows of where its flow began. */
export class FlowJudge {
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
