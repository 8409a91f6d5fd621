/**
 * What subscriptions tell agents of the deployment, and which agents have been told it.
 *
 * Profiles and zones out of service change seldom and subscriptions are sent every two seconds by
 * every balancer, so an agent is told what it has not been told in its present run, often enough
 * that a lost datagram does not matter; other subscriptions say nothing of it.
 */
import type { Endpoint } from '../environment';
import { UNKNOWN_PROFILES, type ServiceProfiles } from './routing-table';
import { UNKNOWN_EVACUATIONS, type ZoneEvacuations } from './zone-evacuations';

/**
 * Subscriptions in a row that tell an agent the same news: where one datagram in 500 is lost, an
 * agent misses all three once in a hundred million times, and other balancers tell it too.
 */
const TELLINGS = 3;

/** What a subscription can tell an agent of the deployment. */
export interface DeploymentNews {
  readonly evacuations: ZoneEvacuations;
  readonly profiles: ServiceProfiles;
}

/** What a subscription says that tells nothing new: an agent keeps what it knows. */
export const NO_NEWS: DeploymentNews = {
  evacuations: UNKNOWN_EVACUATIONS,
  profiles: UNKNOWN_PROFILES,
};

/** What an agent has been told. */
interface ToldNews {
  /** The run of the agent; undefined before its first report. */
  readonly run: number | undefined;
  readonly news: DeploymentNews;
  tellingsLeft: number;
}

/** The news of one balancer. */
export class NewsLedger {
  private readonly told = new Map<Endpoint, ToldNews>();

  /**
   * Whether the next subscription at an agent must tell it the news; counts as told.
   * @param run the agent's run by its latest report; undefined before the first
   */
  takeTelling(agent: Endpoint, run: number | undefined, news: DeploymentNews): boolean {
    const known = this.told.get(agent);
    if (!known || run === undefined || known.run !== run || isLater(news, known.news)) {
      this.told.set(agent, { run, news, tellingsLeft: TELLINGS - 1 });
      return true;
    }
    if (known.tellingsLeft === 0) {
      return false;
    }
    known.tellingsLeft--;
    return true;
  }

  /** Whether an agent has begun another run, which knows nothing of what was told before. */
  hasNewRun(agent: Endpoint, run: number | undefined): boolean {
    const known = this.told.get(agent);
    return known !== undefined && run !== undefined && known.run !== run;
  }

  /** Forgets the agents that are no longer known. */
  expire(isKnown: (agent: Endpoint) => boolean): void {
    for (const agent of this.told.keys()) {
      if (!isKnown(agent)) {
        this.told.delete(agent);
      }
    }
  }
}

/** Whether news are of another version than those told; equal contents may differ in between. */
function isLater(news: DeploymentNews, told: DeploymentNews): boolean {
  return (
    news.profiles.version !== told.profiles.version ||
    news.evacuations.era !== told.evacuations.era ||
    news.evacuations.revision !== told.evacuations.revision
  );
}
