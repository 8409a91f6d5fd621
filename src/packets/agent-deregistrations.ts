/**
 * Deregistered targets in messages between balancers: listed beside the agents, since earlier versions
 * check the exact form of an agent.
 */
import type { AgentDeregistration, AgentRecord, RegistryDelta } from './packet-messages';

/** Lists the deregistered targets of agents. */
export function listDeregistrations(agents: readonly AgentRecord[]): AgentDeregistration[] {
  return agents.flatMap(({ address: agent, deregistered }) =>
    deregistered === undefined ? [] : [{ agent, deregistered }],
  );
}

/** Adds each agent's deregistered target to its entry. */
export function attachDeregistrations<T extends AgentRecord>(
  agents: readonly T[],
  deregistrations: readonly AgentDeregistration[],
): T[] {
  const byAgent = new Map(deregistrations.map(({ agent, deregistered }) => [agent, deregistered]));
  return agents.map((agent) => {
    const deregistered = byAgent.get(agent.address);
    return deregistered === undefined ? agent : { ...agent, deregistered };
  });
}

/** Adds the deregistered targets of the agents of a delta to their entries. */
export function attachToDelta(
  delta: RegistryDelta,
  deregistrations: readonly AgentDeregistration[],
): RegistryDelta {
  const agents = attachDeregistrations(
    delta.changes.map(({ agent }) => agent),
    deregistrations,
  );
  const changes = delta.changes.map((change, index) => ({ ...change, agent: agents[index]! }));
  return { ...delta, changes };
}
