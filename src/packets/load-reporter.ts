/** An agent's reports of its target's state and load to the balancers that want them. */
import type { Endpoint, Environment } from '../environment';
import type { FlowTracker } from './flow-tracker';
import type { PacketLink } from './packet-link';
import {
  PacketMessageType,
  ROUTE_TERMS_VERSION,
  type FlowKnowledgeValue,
  type ReportMessage,
  type TargetStateValue,
} from './packet-messages';
import { LoadSpikeDetector } from './choice/load-spike-detector';
import { DegradationDetector, type TargetMetrics } from './choice/degradation-detector';
import { Subscribers } from './subscribers';
import type { TargetHealth } from './target-health';
import type { TargetLifecycle } from './target-lifecycle';

/** Balancers named in a report, so that balancers find each other. */
const MAXIMUM_REPORTED_BALANCERS = 4;
const RUN_RANGE = 2 ** 48;

/** What a reporter tells of. */
export interface LoadReporterDependencies {
  readonly environment: Environment;
  readonly zone: string;
  readonly link: PacketLink;
  readonly target: TargetLifecycle;
  readonly tracker: FlowTracker;
  readonly health: TargetHealth;
  /** The agent's state, which may differ from its target's. */
  getState(): TargetStateValue;
  /** Requests that wait at the agent or are under way at its target. */
  countBusyRequests(): number;
  /** Mean bytes of a flow of the target of late; 0 while unknown. */
  getFlowBytes(): number;
  /** Milliseconds that the target takes for an answer of late. */
  computeAnswerTime(now: number): number;
  /** Answers of late that this time rests on, fading. */
  countRecentAnswers(now: number): number;
  /** What the agent knows of its target's flows. */
  getFlowKnowledge(): FlowKnowledgeValue;
}

/** Reporter of one agent. */
export class LoadReporter {
  private readonly subscribers = new Subscribers();
  private readonly run: number;
  private reportsSent = 0;
  private readonly degradationDetector = new DegradationDetector();
  private readonly loadSpikeDetector = new LoadSpikeDetector();

  constructor(private readonly dependencies: LoadReporterDependencies) {
    this.run = Math.floor(dependencies.environment.random() * RUN_RANGE);
  }

  /**
   * A balancer is there: it gets reports for some seconds, the first at once. That one names the
   * others which have been here longest: one that has just started learns from whom it gets its view.
   * @param interval milliseconds between reports that it wants; as before when undefined
   */
  subscribe(balancer: Endpoint, interval?: number): void {
    const now = this.dependencies.environment.now();
    if (this.subscribers.renew(balancer, now, interval)) {
      const others = this.subscribers.listActive(now).filter((one) => one !== balancer);
      this.dependencies.link.send(balancer, this.createReport(others));
    }
  }

  /** Reports to every subscriber. */
  reportToAll(): void {
    this.reportTo(this.subscribers.listActive(this.dependencies.environment.now()));
  }

  /** Reports to every subscriber at once if the target has become much worse. */
  reportIfWorse(): void {
    const now = this.dependencies.environment.now();
    if (
      this.degradationDetector.shouldReport(
        this.measureTarget(now),
        now,
        () => this.subscribers.longestInterval,
      )
    ) {
      this.reportToAll();
    }
  }

  /** Reports to every subscriber at once if the target has got much more since they were told. */
  reportIfLoadSpiked(): void {
    const { countBusyRequests: busyRequests, environment, tracker } = this.dependencies;
    const held = tracker.openFlows + busyRequests();
    if (
      this.loadSpikeDetector.shouldReport(held, environment.now(), this.subscribers.longestInterval)
    ) {
      this.reportToAll();
    }
  }

  /** Reports to the subscribers that are due for it. */
  sendDueReports(): void {
    this.reportTo(this.subscribers.takeDue(this.dependencies.environment.now()));
  }

  /** Reports to some balancers, subscribed or not. */
  reportTo(balancers: readonly Endpoint[]): void {
    if (balancers.length > 0) {
      this.dependencies.link.sendReport(balancers, this.createReport(balancers));
    }
  }

  /** @param balancers balancers that the report names; as many of them as it has room for */
  private createReport(balancers: readonly Endpoint[]): ReportMessage {
    const { environment, zone, target, tracker, health } = this.dependencies;
    const now = environment.now();
    return {
      type: PacketMessageType.report,
      run: this.run,
      sequence: ++this.reportsSent,
      service: target.service,
      zone,
      state: this.dependencies.getState(),
      slots: target.slots,
      busyRequests: this.dependencies.countBusyRequests(),
      openFlows: tracker.openFlows,
      ...this.measureTarget(now),
      targetChanges: health.targetChanges,
      coldLeft: target.coldLeft(now),
      flowBytes: this.dependencies.getFlowBytes(),
      frameVersion: ROUTE_TERMS_VERSION,
      flowKnowledge: this.dependencies.getFlowKnowledge(),
      balancerCount: this.subscribers.count,
      balancers: balancers.slice(0, MAXIMUM_REPORTED_BALANCERS),
    };
  }

  private measureTarget(now: number): TargetMetrics {
    const {
      countRecentAnswers: answers,
      computeAnswerTime: answerTime,
      health,
    } = this.dependencies;
    return {
      answerTime: Math.round(answerTime(now)),
      answers: Math.round(answers(now)),
      failurePercent: Math.round(100 * health.computeFailureShare(now)),
    };
  }
}
