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
const SENDS_PER_STATE = 3;

/** What a subscription can tell an agent of the deployment. */
export interface DeploymentState {
  readonly evacuations: ZoneEvacuations;
  readonly profiles: ServiceProfiles;
}

/** What a subscription says that tells nothing new: an agent keeps what it knows. */
export const UNKNOWN_DEPLOYMENT_STATE: DeploymentState = {
  evacuations: UNKNOWN_EVACUATIONS,
  profiles: UNKNOWN_PROFILES,
};

/** What an agent has been told. */
interface SentState {
  /** The run of the agent; undefined before its first report. */
  readonly run: number | undefined;
  readonly state: DeploymentState;
  sendsLeft: number;
}

/** The news of one balancer. */
export class SentStateTracker {
  private readonly sentStates = new Map<Endpoint, SentState>();

  /**
   * Whether the next subscription at an agent must tell it the news; counts as told.
   * @param run the agent's run by its latest report; undefined before the first
   */
  markSentIfDue(agent: Endpoint, run: number | undefined, state: DeploymentState): boolean {
    const known = this.sentStates.get(agent);
    if (!known || run === undefined || known.run !== run || differs(state, known.state)) {
      this.sentStates.set(agent, { run, state: state, sendsLeft: SENDS_PER_STATE - 1 });
      return true;
    }
    if (known.sendsLeft === 0) {
      return false;
    }
    known.sendsLeft--;
    return true;
  }

  /** Whether an agent has begun another run, which knows nothing of what was told before. */
  hasNewRun(agent: Endpoint, run: number | undefined): boolean {
    const known = this.sentStates.get(agent);
    return known !== undefined && run !== undefined && known.run !== run;
  }

  /** Forgets the agents that are no longer known. */
  removeUnknownAgents(isKnown: (agent: Endpoint) => boolean): void {
    for (const agent of this.sentStates.keys()) {
      if (!isKnown(agent)) {
        this.sentStates.delete(agent);
      }
    }
  }
}

/** Whether news are of another version than those told; equal contents may differ in between. */
function differs(state: DeploymentState, sent: DeploymentState): boolean {
  return (
    state.profiles.version !== sent.profiles.version ||
    state.evacuations.era !== sent.evacuations.era ||
    state.evacuations.revision !== sent.evacuations.revision
  );
}
