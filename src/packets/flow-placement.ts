/** The balancer's choice of an agent for a new flow, and for each retransmission of its opening packet. */
import { formatEndpoint } from '../core/endpoint';
import type { Endpoint, Environment } from '../environment';
import { Events } from '../logging/events';
import { OpeningAdmission } from './admission/opening-admission';
import type { AgentDirectory, AgentEntry } from './agent-directory';
import { selectAgent, type Choice, type SelectionContext } from './agent-selection';
import { DEFAULT_CHOICE, type ChoiceSettings } from './choice/choice-settings';
import { OpeningRates } from './choice/opening-rates';
import { RouteRequestStatistics, type FlowRequestCount } from './choice/route-request-statistics';
import { PlacementClass } from './choice/selection';
import { OutlierEjection } from './choice/outlier-ejection';
import type { FlowCache } from './flow-cache';
import type { FlowPacket } from './flow-packet';
import type { FlowSearch, FlowSearches } from './flow-search';
import type { Locality } from './locality/locality';
import type { PacketLink } from './packet-link';
import { PacketMessageType, ROUTE_TERMS_VERSION } from './packet-messages';
import type { PacketForwarder } from './packet-forwarder';
import { getServiceNames, type Route, type RoutingTable } from './routing-table';
import { WeightedRoundRobin } from './weighted-round-robin';
import { findLessUrgentRoutes, getTerms } from './terms/route-terms';
import { SentTermsTracker } from './terms/sent-terms-tracker';

/** Dependencies of the flow placement. */
export interface FlowPlacementDependencies {
  readonly environment: Environment;
  readonly zone: string;
  readonly locality: Locality;
  readonly directory: AgentDirectory;
  readonly cache: FlowCache;
  readonly searches: FlowSearches;
  readonly forwarder: PacketForwarder;
  readonly link: PacketLink;
  /** Settings for the choice of agents; `DEFAULT_CHOICE` when undefined. */
  readonly choice?: ChoiceSettings;
  /** Whether a zone is evacuated: its targets get no new flows. */
  isEvacuated(zone: string): boolean;
}

/** Assigns the new flows of one balancer to agents. */
export class FlowPlacement {
  private readonly serviceSelector = new WeightedRoundRobin();

  private readonly openingRates = new OpeningRates();
  private readonly requestStatistics = new RouteRequestStatistics();
  private readonly choice: ChoiceSettings;
  private readonly outlierEjection: OutlierEjection;
  private readonly sentTerms = new SentTermsTracker();
  private readonly admission: OpeningAdmission;
  private lessUrgentRoutes: ReadonlySet<Endpoint> = new Set();
  private routingVersion = 0;

  constructor(private readonly dependencies: FlowPlacementDependencies) {
    const { choice = DEFAULT_CHOICE, directory, environment } = dependencies;
    this.choice = choice;
    this.admission = new OpeningAdmission(choice.keptShare);
    const share = choice.expectedWait ? choice.setAsideShare : 0;
    this.outlierEjection = new OutlierEjection({ environment, directory, share });
  }

  /** Targets that get only trial flows, since they perform far worse than their service. */
  get agentsSetAside(): number {
    return this.outlierEjection.ejectedCount;
  }

  /** Removes expired entries. */
  expire(now: number): void {
    this.outlierEjection.expire(now);
    this.openingRates.expire(now);
    this.requestStatistics.expire(now);
    this.sentTerms.expire((agent) => this.dependencies.directory.find(agent) !== undefined);
  }

  /** Records a packet of an open flow, for the estimate of requests per flow of its route. */
  recordPacket(packet: FlowPacket, usage: FlowRequestCount): void {
    if (this.choice.keptFlows) {
      this.requestStatistics.recordPacket(packet, usage, this.dependencies.environment.now());
    }
  }

  /** Activates a routing table and resets the shares of services and routes. */
  apply({ routes, version }: RoutingTable): void {
    this.serviceSelector.reset();
    this.routingVersion = version;
    this.sentTerms.apply(routes);
    this.lessUrgentRoutes = findLessUrgentRoutes(routes);
    this.admission.reset();
  }

  /** Places an opening packet; a retransmission goes to an agent not yet offered the flow. */
  place(packet: FlowPacket, route: Route): void {
    const { cache, environment, forwarder, searches } = this.dependencies;
    const now = environment.now();
    const cached = cache.get(packet.flow, now);
    if (cached?.isConfirmed) {
      forwarder.deliver(packet, getServiceNames(route), cached.agent, 0);
      return;
    }
    const service = this.findOpenedService(packet, route) ?? this.serviceSelector.selectNext(route);
    const search = searches.beginOpening(packet.flow, route, [service], now);
    cached?.offeredTo.forEach((agent) => search.refusedBy.add(agent));
    this.offer(packet, search);
  }

  /** Creates a search for a refused opening packet whose own search has expired. */
  resumeSearch(packet: FlowPacket, route: Route): FlowSearch {
    const { environment, searches } = this.dependencies;
    const service = this.findOpenedService(packet, route) ?? getServiceNames(route)[0]!;
    return searches.beginOpening(packet.flow, route, [service], environment.now());
  }

  /** Finds the service that an earlier copy of an opening packet went to, if the route still has it. */
  private findOpenedService({ flow }: FlowPacket, route: Route): string | undefined {
    const { cache, environment } = this.dependencies;
    const service = cache.get(flow, environment.now())?.service;
    return service !== undefined && getServiceNames(route).includes(service) ? service : undefined;
  }

  /** Sends an opening packet to the best agent that has not refused it. */
  offer(packet: FlowPacket, search: FlowSearch): void {
    const { directory, environment, cache, isEvacuated, locality, forwarder } = this.dependencies;
    const now = environment.now();
    const [service] = search.services;
    const candidates = directory
      .findByServices(search.services)
      .filter(({ zone, limitedUntil }) => !isEvacuated(zone) && limitedUntil <= now);
    const untried = candidates.filter(({ address }) => !search.refusedBy.has(address));
    const ordered = locality.orderForPlacement(packet.flow, untried);
    search.services.forEach((name) => this.outlierEjection.compareTargets(name, now));
    const context = this.createSelectionContext(packet, search, now);
    const choice = this.chooseAgent(ordered, context);
    if (!choice) {
      this.refuse(packet, search, candidates);
      return;
    }
    if (!this.isAdmitted(packet, search, choice)) {
      this.refuseLate(packet, search, choice);
      return;
    }
    const { entry: chosen } = choice;
    this.countPlacement(choice, now);
    directory.recordOpening(chosen, context.requestsPerFlow > 1, now);
    this.openingRates.recordOpening(chosen.service, now);
    cache.recordOpening(packet.flow, chosen.address, service!, now);
    forwarder.counters.flowsPlaced++;
    const spill = locality.recordPlacement(chosen, ordered, forwarder.counters);
    forwarder.reportEvent(Events.flowPlaced, packet, {
      agent: formatEndpoint(chosen.address),
      service,
      copy: packet.openingCopy,
      refusals: search.refusedBy.size,
      busy: chosen.report?.busyRequests,
      flows: chosen.report?.openFlows,
      failing: chosen.report?.failurePercent,
      spill,
      expected: Math.round(choice.expectedTime),
      requestsPerFlow: Math.round(context.requestsPerFlow),
      class: choice.placementClass,
      reportAge: chosen.heardAt === undefined ? undefined : Math.round(now - chosen.heardAt),
    });
    this.sendRouteTerms(chosen, search.route);
    forwarder.deliver(packet, search.services, chosen.address, search.id);
  }

  /**
   * Whether a flow is admitted. Only a flow that was offered to no agent yet can be refused, since any
   * other may be open already. The expected time of a trial flow holds for the tested target alone.
   */
  private isAdmitted(
    packet: FlowPacket,
    { refusedBy, route }: FlowSearch,
    choice: Choice,
  ): boolean {
    const { cache, environment } = this.dependencies;
    const isNew = packet.openingCopy === 0 && refusedBy.size === 0;
    const isSubjectToAdmission = this.choice.admission && isNew && !choice.isTrial;
    if (!isSubjectToAdmission || cache.get(packet.flow, environment.now())) {
      return true;
    }
    const { destination } = route;
    return this.admission.admit({
      destination,
      expectedTime: choice.reportedTime,
      deadline: getTerms(route).deadline,
      isLessUrgent: this.lessUrgentRoutes.has(destination),
    });
  }

  private refuseLate(packet: FlowPacket, search: FlowSearch, { reportedTime }: Choice): void {
    const { forwarder, searches } = this.dependencies;
    searches.end(search);
    forwarder.counters.openingsRefused++;
    forwarder.reset(packet, 'no answer in time', {
      expected: Math.round(reportedTime),
      deadline: getTerms(search.route).deadline,
    });
  }

  /** Sends an agent the terms of a route (priority, latency goal, deadline) before its first requests. */
  private sendRouteTerms({ address, report }: AgentEntry, route: Route): void {
    const supportsRouteTerms = report !== undefined && report.frameVersion >= ROUTE_TERMS_VERSION;
    if (supportsRouteTerms && this.sentTerms.markSentIfDue(address, report.run, route)) {
      this.dependencies.link.send(address, {
        type: PacketMessageType.routeTerms,
        destination: route.destination,
        version: this.routingVersion,
        ...getTerms(route),
      });
    }
  }

  /**
   * Refuses a new flow that no agent takes. The client gets a reset at once, unless an earlier
   * copy may have opened the flow or agents are missing from this balancer's view.
   */
  private refuse(packet: FlowPacket, search: FlowSearch, candidates: readonly AgentEntry[]): void {
    const { cache, directory, environment, forwarder, searches } = this.dependencies;
    const cached = cache.get(packet.flow, environment.now());
    const isFirstCopy = packet.openingCopy === 0 && (cached?.offeredTo.size ?? 0) === 0;
    const haveAllReported = candidates.every(({ report }) => report !== undefined);
    searches.end(search);
    if (isFirstCopy && haveAllReported && directory.isComplete) {
      forwarder.reset(packet, 'no agent takes the flow', { refusals: search.refusedBy.size });
    } else {
      forwarder.drop(packet, 'no agent known to take the flow');
    }
  }

  /** Chooses an agent; one of another zone only after the remaining agents of the own zone are compared. */
  private chooseAgent(
    ordered: readonly AgentEntry[],
    context: SelectionContext,
  ): Choice | undefined {
    const first = selectAgent(ordered, context);
    if (!first || first.isTrial) {
      return first;
    }
    const second = this.dependencies.locality.orderSecondChoice(first.entry, ordered);
    return second ? selectAgent(second, context) : first;
  }

  private estimateRequestsPerFlow({ destination }: FlowPacket, now: number): number {
    return this.choice.keptFlows
      ? this.requestStatistics.estimateRequestsPerFlow(destination, now)
      : 1;
  }

  private countPlacement({ entry, isTrial, placementClass }: Choice, now: number): void {
    const { counters } = this.dependencies.forwarder;
    if (isTrial) {
      counters.trialFlows++;
      this.outlierEjection.recordTrial(entry, now);
      return;
    }
    counters.flowsPlacedDoubtful += placementClass === PlacementClass.doubtful ? 1 : 0;
    counters.flowsPlacedLastResort += placementClass === PlacementClass.lastResort ? 1 : 0;
  }

  private createSelectionContext(
    packet: FlowPacket,
    search: FlowSearch,
    now: number,
  ): SelectionContext {
    const isTrialFlow = isEligibleForTrial(packet, search);
    const { directory, environment, locality } = this.dependencies;
    return {
      now,
      openingRate: this.openingRates.getRate(search.services[0]!, now),
      requestsPerFlow: this.estimateRequestsPerFlow(packet, now),
      usesExpectedWait: this.choice.expectedWait,
      competingShare: locality.competingShare,
      getOutlierStatus: (entry) => this.outlierEjection.getStatus(entry, isTrialFlow, now),
      getReportAge: (entry) => now - (entry.heardAt ?? now),
      isHeard: (entry) => directory.isHeard(entry, now),
      isRecentlyAdded: (entry) => directory.isRecentlyAdded(entry, now),
      getTransferCost: (entry) => locality.computeCost(entry, now),
      random: () => environment.random(),
    };
  }
}

/** Whether a flow may be a trial: its request is repeatable and it has not been delayed yet. */
function isEligibleForTrial(
  { openingCopy }: FlowPacket,
  { refusedBy, route }: FlowSearch,
): boolean {
  return route.isRepeatable === true && openingCopy === 0 && refusedBy.size === 0;
}
