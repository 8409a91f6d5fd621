/**
 * Guards against resets of open flows of a target that is only paused.
 *
 * A process on a busy machine may pause for most of a second while new flows arrive. An agent that takes
 * two unanswered opening packets and 0.4 s of silence for the death of its target refuses the packets
 * of its open flows, and balancers reset them. Only a closed port shows that a target is dead; until
 * then it just gets no new flows. target-start-unseen.test.ts guards against another cause.
 */
import test from 'ava';
import {
  PacketSimulation,
  type PacketSimulationAgent,
} from '../src/simulation/packets/packet-simulation';
import { MAP_DESTINATION, startModelDeployment } from '../src/simulation/packets/random-faults';
import { TargetLiveness } from '../src/packets/target-liveness';

interface SimulatedTarget {
  readonly world: PacketSimulation;
  readonly agent: PacketSimulationAgent;
}

/** All map targets but one are full, so that all new flows go to that one. */
function startSimulation(seed: number): SimulatedTarget {
  const world = new PacketSimulation(seed);
  startModelDeployment(world);
  world.runFor(4_000);
  const [agent, ...others] = world.agents.filter(({ service }) => service === 'map');
  for (let index = 0; index < 40; index++) {
    world.openFlow(MAP_DESTINATION, 40, 100);
  }
  world.runFor(800);
  others.forEach((one) => (one.target.isFull = true));
  return { world, agent: agent! };
}

for (const stall of [700, 1_500, 2_500]) {
  test(`flows of a target that pauses for ${stall} ms are not reset`, (t) => {
    const { world, agent } = startSimulation(95);
    const held = world.clients.filter((client) => world.findHolder(client) === agent);
    t.true(held.length > 3);
    agent.target.stall(stall);
    for (let index = 0; index < 30; index++) {
      world.openFlow(MAP_DESTINATION, 2, 50);
      world.runFor(30);
    }
    world.runFor(12_000);
    t.deepEqual(world.violations.flowsReset, []);
    t.true(held.every(({ state }) => state === 'done'));
  });
}

test('flows of a target that has ended are reset within a second', (t) => {
  const { world, agent } = startSimulation(96);
  const held = world.clients.filter((client) => world.findHolder(client) === agent);
  agent.target.alive = false;
  for (let index = 0; index < 30; index++) {
    world.openFlow(MAP_DESTINATION, 2, 50);
    world.runFor(30);
  }
  world.runFor(100);
  t.deepEqual([...new Set(held.map(({ state }) => state))], ['reset']);
});

test('only a refused connection proves a target dead, and any packet of it disproves that', (t) => {
  const answers: ((isVacant: boolean) => void)[] = [];
  let deaths = 0;
  const liveness = new TargetLiveness(
    { checkVacant: (answer) => answers.push(answer) },
    () => void deaths++,
  );
  liveness.probeIfUnresponsive(true, 1_000);
  liveness.probeIfUnresponsive(true, 1_100);
  t.is(answers.length, 1, 'one probe at a time');
  answers.shift()!(false);
  t.false(liveness.isDead);
  liveness.probeIfUnresponsive(true, 1_100);
  t.is(answers.length, 0, 'not at once again');
  liveness.probeIfUnresponsive(true, 1_600);
  answers.shift()!(true);
  t.true(liveness.isDead);
  t.is(deaths, 1);
  liveness.recordActivity();
  t.false(liveness.isDead);
  liveness.probeIfUnresponsive(true, 3_000);
  liveness.recordActivity();
  answers.shift()!(true);
  t.false(liveness.isDead, 'it sent a packet after the probe had started');
  liveness.probeIfUnresponsive(false, 4_000);
  t.is(answers.length, 0, 'no probe of a target that is responsive');
});
