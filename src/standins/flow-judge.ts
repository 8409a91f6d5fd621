/** Judges whether answers come from the back end where a flow began. */
import type { AnswerOrigin } from './backend-standin';
import type { CallerContext } from './caller';

/** What the caller knows of where its flow began. */
export class FlowJudge {
  private firstOrigin: AnswerOrigin | undefined;
  private isBroken = false;

  constructor(private readonly context: CallerContext) {}

  get isEstablished(): boolean {
    return this.firstOrigin !== undefined;
  }

  /** Judges the origin of an answer that the flow's own host must give. */
  checkHost(origin: AnswerOrigin): void {
    if (!this.checkService(origin)) {
      return;
    }
    if (!this.firstOrigin) {
      this.firstOrigin = origin;
      this.context.statistics.flowsOpened++;
    } else if (origin.target !== this.firstOrigin.target || origin.run !== this.firstOrigin.run) {
      this.markBroken('moved');
    }
  }

  /** Judges the origin of an answer that any target of the service may give. */
  checkService(origin: AnswerOrigin): boolean {
    const isOwnService = origin.service === this.context.service;
    if (!isOwnService) {
      this.context.statistics.misdelivered++;
    }
    return isOwnService;
  }

  /** A flow without a host-bound answer counts as opened with its first whole answer. */
  markOpened(): void {
    if (!this.firstOrigin) {
      this.firstOrigin = { service: this.context.service, target: '', run: 0 };
      this.context.statistics.flowsOpened++;
    }
  }

  /** Counts the flow as broken, once. */
  markBroken(reason: string): void {
    if (this.firstOrigin && !this.isBroken) {
      this.isBroken = true;
      this.context.statistics.recordBrokenFlow(
        reason,
        this.firstOrigin.service,
        this.firstOrigin.target,
      );
    }
  }

  /** The caller begins a new flow. */
  reset(): void {
    this.firstOrigin = undefined;
    this.isBroken = false;
  }
}
