/**
 * State of the deployment that subscriptions carry to agents, and which agents have been sent it.
 *
 * Profiles and zones out of service change rarely, and every balancer sends subscriptions every two
 * seconds. So they carry the state only until it has been sent to the present incarnation of the
 * agent, several times in a row to tolerate lost datagrams.
 */
import type { Endpoint } from '../environment';
import { UNKNOWN_PROFILES, type ServiceProfiles } from './routing-table';
import { UNKNOWN_EVACUATIONS, type ZoneEvacuations } from './zone-evacuations';

/**
 * Consecutive subscriptions that carry the same state: where one datagram in 500 is lost, an
 * agent misses all three once in a hundred million times, and other balancers send it too.
 */
const SENDS_PER_STATE = 3;

/** State of the deployment that a subscription can carry. */
export interface DeploymentState {
  readonly evacuations: ZoneEvacuations;
  readonly profiles: ServiceProfiles;
}

/** Sent to an agent that already has the state: it keeps what it knows. */
export const UNKNOWN_DEPLOYMENT_STATE: DeploymentState = {
  evacuations: UNKNOWN_EVACUATIONS,
  profiles: UNKNOWN_PROFILES,
};

/** State that was sent to an agent. */
interface SentState {
  /** The run of the agent; undefined before its first report. */
  readonly run: number | undefined;
  readonly state: DeploymentState;
  sendsLeft: number;
}

/** Tracks which state one balancer has sent to each agent. */
export class SentStateTracker {
  private readonly sentStates = new Map<Endpoint, SentState>();

  /**
   * Whether the next subscription to an agent must carry the state; if so, counts it as sent.
   * @param run the agent's incarnation in its latest report; undefined before the first
   */
  markSentIfDue(agent: Endpoint, run: number | undefined, state: DeploymentState): boolean {
    const known = this.sentStates.get(agent);
    if (!known || run === undefined || known.run !== run || differs(state, known.state)) {
      this.sentStates.set(agent, { run, state, sendsLeft: SENDS_PER_STATE - 1 });
      return true;
    }
    if (known.sendsLeft === 0) {
      return false;
    }
    known.sendsLeft--;
    return true;
  }

  /** Whether an agent has started another incarnation, which has lost the state sent before. */
  hasNewRun(agent: Endpoint, run: number | undefined): boolean {
    const known = this.sentStates.get(agent);
    return known !== undefined && run !== undefined && known.run !== run;
  }

  /** Removes the agents that are no longer known. */
  removeUnknownAgents(isKnown: (agent: Endpoint) => boolean): void {
    for (const agent of this.sentStates.keys()) {
      if (!isKnown(agent)) {
        this.sentStates.delete(agent);
      }
    }
  }
}

/** Whether the state has another version than the sent one, even if the content is the same. */
function differs(state: DeploymentState, sent: DeploymentState): boolean {
  return (
    state.profiles.version !== sent.profiles.version ||
    state.evacuations.era !== sent.evacuations.era ||
    state.evacuations.revision !== sent.evacuations.revision
  );
}
