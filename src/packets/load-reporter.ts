/** Reports the state and load of an agent's target to the subscribed balancers. */
import type { Endpoint, Environment } from '../environment';
import type { FlowTracker } from './flow-tracker';
import type { PacketLink } from './packet-link';
import {
  PacketMessageType,
  DEREGISTRATION_VERSION,
  type FlowKnowledgeValue,
  type ReportMessage,
  type TargetStateValue,
} from './packet-messages';
import { LoadSpikeDetector } from './choice/load-spike-detector';
import { DegradationDetector, type TargetMetrics } from './choice/degradation-detector';
import { Subscribers } from './subscribers';
import type { TargetHealth } from './target-health';
import type { TargetLifecycle } from './target-lifecycle';

/** Balancers named in a report, so that balancers discover each other. */
const MAXIMUM_REPORTED_BALANCERS = 4;
const RUN_RANGE = 2 ** 48;

/** Dependencies of the reporter. */
export interface LoadReporterDependencies {
  readonly environment: Environment;
  readonly zone: string;
  readonly link: PacketLink;
  readonly target: TargetLifecycle;
  readonly tracker: FlowTracker;
  readonly health: TargetHealth;
  /** The agent's state, which may differ from its target's. */
  getState(): TargetStateValue;
  /** Requests queued at the agent or in flight at its target. */
  countBusyRequests(): number;
  /** Recent mean of the bytes of the target's flows; 0 while unknown. */
  getFlowBytes(): number;
  /** Recent answer time of the target in milliseconds. */
  computeAnswerTime(now: number): number;
  /** Number of recent answers behind this time, with exponential decay. */
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
   * Subscribes a balancer for some seconds, and sends its first report at once. That report names the
   * balancers subscribed longest, from which one that has just started can get its view.
   * @param interval requested milliseconds between reports; unchanged when undefined
   */
  subscribe(balancer: Endpoint, interval?: number): void {
    const now = this.dependencies.environment.now();
    if (this.subscribers.renew(balancer, now, interval)) {
      const others = this.subscribers.listActive(now).filter((one) => one !== balancer);
      this.dependencies.link.send(balancer, this.createReport(others));
    }
  }

  /** Reports to all subscribers. */
  reportToAll(): void {
    this.reportTo(this.subscribers.listActive(this.dependencies.environment.now()));
  }

  /** Reports to all subscribers at once if the target has become much slower or fails more. */
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

  /** Reports to all subscribers at once on a load spike since the last report. */
  reportIfLoadSpiked(): void {
    const { countBusyRequests, environment, tracker } = this.dependencies;
    const load = tracker.openFlows + countBusyRequests();
    if (
      this.loadSpikeDetector.shouldReport(load, environment.now(), this.subscribers.longestInterval)
    ) {
      this.reportToAll();
    }
  }

  /** Reports to the subscribers whose interval has elapsed. */
  sendDueReports(): void {
    this.reportTo(this.subscribers.takeDue(this.dependencies.environment.now()));
  }

  /** Whether any balancer has subscribed or sent a packet recently. */
  get hasSubscribers(): boolean {
    return this.subscribers.listActive(this.dependencies.environment.now()).length > 0;
  }

  /** Reports to the latest balancers whose subscriptions have expired. */
  reportToFormerSubscribers(): void {
    this.reportTo(this.subscribers.former);
  }

  /** Reports to the given balancers, subscribed or not. */
  reportTo(balancers: readonly Endpoint[]): void {
    if (balancers.length > 0) {
      this.dependencies.link.sendReport(balancers, this.createReport(balancers));
    }
  }

  /** @param balancers balancers to name in the report; only the first few fit */
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
      frameVersion: DEREGISTRATION_VERSION,
      flowKnowledge: this.dependencies.getFlowKnowledge(),
      balancerCount: this.subscribers.count,
      balancers: balancers.slice(0, MAXIMUM_REPORTED_BALANCERS),
    };
  }

  private measureTarget(now: number): TargetMetrics {
    const { computeAnswerTime, countRecentAnswers, health } = this.dependencies;
    return {
      answerTime: Math.round(computeAnswerTime(now)),
      answers: Math.round(countRecentAnswers(now)),
      failurePercent: Math.round(100 * health.computeFailureShare(now)),
    };
  }
}
