/** An agent's reports of its target's state and load to the balancers that want them. */
import type { Endpoint, Environment } from '../environment';
import type { FlowTracker } from './flow-tracker';
import type { PacketLink } from './packet-link';
import {
  PacketMessageType,
  TERMS_VERSION,
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
const BALANCERS_IN_REPORT = 4;
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
  state(): TargetStateValue;
  /** Requests that wait at the agent or are under way at its target. */
  busyRequests(): number;
  /** Mean bytes of a flow of the target of late; 0 while unknown. */
  flowBytes(): number;
  /** Milliseconds that the target takes for an answer of late. */
  answerTime(now: number): number;
  /** Answers of late that this time rests on, fading. */
  answers(now: number): number;
  /** What the agent knows of its target's flows. */
  flowKnowledge(): FlowKnowledgeValue;
}

/** Reporter of one agent. */
export class LoadReporter {
  private readonly subscribers = new Subscribers();
  private readonly run: number;
  private reportsSent = 0;
  private readonly alarm = new DegradationDetector();
  private readonly crowding = new LoadSpikeDetector();

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
      const others = this.subscribers.present(now).filter((one) => one !== balancer);
      this.dependencies.link.send(balancer, this.createReport(others));
    }
  }

  /** Reports to every subscriber. */
  report(): void {
    this.reportTo(this.subscribers.present(this.dependencies.environment.now()));
  }

  /** Reports to every subscriber at once if the target has become much worse. */
  reportIfWorse(): void {
    const now = this.dependencies.environment.now();
    if (this.alarm.shouldReport(this.figuresAt(now), now, () => this.subscribers.longestInterval)) {
      this.report();
    }
  }

  /** Reports to every subscriber at once if the target has got much more since they were told. */
  reportIfCrowded(): void {
    const { busyRequests, environment, tracker } = this.dependencies;
    const held = tracker.openFlows + busyRequests();
    if (this.crowding.shouldReport(held, environment.now(), this.subscribers.longestInterval)) {
      this.report();
    }
  }

  /** Reports to the subscribers that are due for it. */
  reportWhereDue(): void {
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
      state: this.dependencies.state(),
      slots: target.slots,
      busyRequests: this.dependencies.busyRequests(),
      openFlows: tracker.openFlows,
      ...this.figuresAt(now),
      targetChanges: health.targetChanges,
      coldLeft: target.coldLeft(now),
      flowBytes: this.dependencies.flowBytes(),
      frameVersion: TERMS_VERSION,
      flowKnowledge: this.dependencies.flowKnowledge(),
      balancerCount: this.subscribers.count,
      balancers: balancers.slice(0, BALANCERS_IN_REPORT),
    };
  }

  private figuresAt(now: number): TargetMetrics {
    const { answers, answerTime, health } = this.dependencies;
    return {
      answerTime: Math.round(answerTime(now)),
      answers: Math.round(answers(now)),
      failurePercent: Math.round(100 * health.failureShare(now)),
    };
  }
}
