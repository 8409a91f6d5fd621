/**
 * Guards against resets of open flows of a running target.
 *
 * A target accepts its first flows before its agent knows of the new start, or through an earlier
 * incarnation of its agent. An agent that concludes from a heartbeat alone that it has seen all flows of
 * its target then denies holding them in conclusive searches, and balancers that have lost their caches
 * reset the flows. A heartbeat shows only the age of the target, not what was forwarded before. Where
 * no cold time is configured the agent offers the packets to its target, and the flows are kept.
 */
import test, { type ExecutionContext } from 'ava';
import {
  PacketSimulation,
  type PacketSimulationAgent,
} from '../src/simulation/packets/packet-simulation';
import { MAP_DESTINATION, startModelDeployment } from '../src/simulation/packets/random-faults';

const FLOWS = 60;

interface SimulatedAgent {
  readonly world: PacketSimulation;
  readonly agent: PacketSimulationAgent;
}

function startSimulation(seed: number): SimulatedAgent {
  const world = new PacketSimulation(seed);
  startModelDeployment(world);
  world.runFor(5_000);
  return { world, agent: world.agents[0]! };
}

/** Sends a heartbeat of the agent's current target that reports an age in milliseconds. */
function sendHeartbeat({ world, agent }: SimulatedAgent, age: number, sequence: number): void {
  const { service, draining } = agent.target;
  const { id: incarnation, startTime: born } = agent.target.identity;
  const coldLeft = world.coldTime - age;
  agent.node.handleHeartbeat({
    incarnation,
    born,
    service,
    draining,
    slots: 5,
    coldLeft,
    sequence,
  });
}

/** @param pause milliseconds between two requests of a flow */
function openFlows({ world }: SimulatedAgent, pause: number): void {
  for (let index = 0; index < FLOWS; index++) {
    world.openFlow(MAP_DESTINATION, 60, pause);
  }
}

/** Restarts all balancers without state; the flows of the agent's target must continue. */
function checkFlowsAreFound(t: ExecutionContext, { world, agent }: SimulatedAgent): void {
  t.true(agent.target.flows.size > 0, 'the target has flows');
  world.balancers.forEach((balancer) => world.startBalancer(balancer));
  world.runFor(3_000);
  t.deepEqual(world.violations.flowsReset, []);
}

test('flows that opened before the first heartbeat of a new target are found', (t) => {
  const simulation = startSimulation(71);
  const { world, agent } = simulation;
  agent.heartbeats = false;
  world.startTarget(agent);
  world.runFor(50);
  openFlows(simulation, 1_500);
  world.runFor(800);
  sendHeartbeat(simulation, 850, 2);
  world.runFor(300);
  checkFlowsAreFound(t, simulation);
});

test('flows that opened through an earlier incarnation of the agent are found', (t) => {
  const simulation = startSimulation(72);
  const { world, agent } = simulation;
  agent.heartbeats = false;
  world.startTarget(agent);
  sendHeartbeat(simulation, 0, 1);
  world.runFor(50);
  openFlows(simulation, 60);
  world.runFor(400);
  agent.process.kill();
  world.runFor(250);
  world.startAgent(agent);
  world.runFor(60);
  sendHeartbeat(simulation, 760, 3);
  world.runFor(300);
  checkFlowsAreFound(t, simulation);
});

test('a late first heartbeat beside an agent that has restarted does not hide earlier flows', (t) => {
  for (let seed = 520; seed < 526; seed++) {
    const simulated = startSimulation(seed);
    const { world, agent } = simulated;
    agent.heartbeats = false;
    world.startTarget(agent);
    world.runFor(100);
    openFlows(simulated, 7_000);
    world.runFor(1_000);
    world.startAgent(agent);
    world.runFor(900);
    // Sent 20 ms after the target's start, received 2 s after it.
    sendHeartbeat(simulated, 20, 1);
    world.runFor(4_000);
    checkFlowsAreFound(t, simulated);
    world.runFor(8_000);
    t.deepEqual(world.violations.flowsReset, []);
  }
});
