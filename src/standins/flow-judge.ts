/** Checks that answers come from the back end where the flow began. */
import type { AnswerOrigin } from './backend-standin';
import type { CallerContext } from './caller';

/** Origin of a caller's flow, compared with that of each answer. */
export class FlowJudge {
  private firstOrigin: AnswerOrigin | undefined;
  private isBroken = false;

  constructor(private readonly context: CallerContext) {}

  get isEstablished(): boolean {
    return this.firstOrigin !== undefined;
  }

  /** Checks the origin of an answer that only the flow's host may send. */
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

  /** Checks the origin of an answer that any target of the service may send. */
  checkService(origin: AnswerOrigin): boolean {
    const isOwnService = origin.service === this.context.service;
    if (!isOwnService) {
      this.context.statistics.misdelivered++;
    }
    return isOwnService;
  }

  /** Counts a flow without answers bound to a host as opened at its first complete answer. */
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

  /** Resets the state for a new flow. */
  reset(): void {
    this.firstOrigin = undefined;
    this.isBroken = false;
  }
}
