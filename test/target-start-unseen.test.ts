/**
 * The second case of an incident: several open flows of one target were reset by balancers of its zone.
 *
 * Seen: the target and its agent were well, and had been for seconds; other agents had started twice
 * within a second shortly before. How it came about, in these tests: a target took its first flows
 * before its agent knew that it was another start of a target, or through an earlier run of its agent.
 * The agent then told searches for sure that the target held none of them, and once the balancers had
 * lost their notes, they told the clients that the flows were dead.
 * Cause: an agent concluded that it knew all flows of its target from a heartbeat alone, which says how
 * old the target is and not what passed before. Proved by the same flows being kept where targets are
 * asked themselves (a deployment that does not say how long targets are slow).
 */
import test, { type ExecutionContext } from 'ava';
import { PacketWorld, type WorldAgent } from '../src/simulation/packets/packet-world';
import { MAP_DESTINATION, startModelDeployment } from '../src/simulation/packets/random-faults';

const FLOWS = 60;

interface Scene {
  readonly world: PacketWorld;
  readonly agent: WorldAgent;
}

function startScene(seed: number): Scene {
  const world = new PacketWorld(seed);
  startModelDeployment(world);
  world.runFor(5_000);
  return { world, agent: world.agents[0]! };
}

/** A heartbeat of an agent's present target; `age` is how long it has run by its own word. */
function sendHeartbeat({ world, agent }: Scene, age: number, sequence: number): void {
  const { service, draining } = agent.target;
  const { id: incarnation, born } = agent.target.life;
  const coldLeft = world.coldTime - age;
  agent.node.heartbeat({ incarnation, born, service, draining, slots: 5, coldLeft, sequence });
}

/** @param pause milliseconds between two requests of a flow */
function openFlows({ world }: Scene, pause: number): void {
  for (let index = 0; index < FLOWS; index++) {
    world.openFlow(MAP_DESTINATION, 60, pause);
  }
}

/** All balancers lose what they know; the flows of the agent's target must go on. */
function checkFlowsAreFound(t: ExecutionContext, { world, agent }: Scene): void {
  t.true(agent.target.flows.size > 0, 'the target has flows');
  world.balancers.forEach((balancer) => world.startBalancer(balancer));
  world.runFor(3_000);
  t.deepEqual(world.violations.flowsReset, []);
}

test('flows that opened before the first heartbeat of a new target are found', (t) => {
  const scene = startScene(71);
  const { world, agent } = scene;
  agent.heartbeats = false;
  world.startTarget(agent);
  world.runFor(50);
  openFlows(scene, 1_500);
  world.runFor(800);
  sendHeartbeat(scene, 850, 2);
  world.runFor(300);
  checkFlowsAreFound(t, scene);
});

test('flows that opened through an earlier run of the agent are found', (t) => {
  const scene = startScene(72);
  const { world, agent } = scene;
  agent.heartbeats = false;
  world.startTarget(agent);
  sendHeartbeat(scene, 0, 1);
  world.runFor(50);
  openFlows(scene, 60);
  world.runFor(400);
  agent.process.kill();
  world.runFor(250);
  world.startAgent(agent);
  world.runFor(60);
  sendHeartbeat(scene, 760, 3);
  world.runFor(300);
  checkFlowsAreFound(t, scene);
});
