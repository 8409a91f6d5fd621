/**
 * The second case of an incident, in another way to it: open flows of one target were reset by balancers
 * of its zone, and the target lived.
 *
 * Seen: as told in target-start-unseen.test.ts. How it came about, in these tests: a target stood still
 * for most of a second, as a process on a busy machine may, while new flows came. Two openings without
 * an answer and 0.4 s of silence were taken for its death, and its agent refused the packets of its
 * open flows, so that balancers told the clients that they were dead.
 * Cause: silence was taken for proof. Proved by the same target being left alone without new flows.
 */
import test from 'ava';
import { PacketWorld, type WorldAgent } from '../src/simulation/packets/packet-world';
import { MAP_DESTINATION, startModelDeployment } from '../src/simulation/packets/random-faults';
import { TargetLiveness } from '../src/packets/target-liveness';

interface Scene {
  readonly world: PacketWorld;
  readonly agent: WorldAgent;
}

/** One map target, so that all new flows go to it. */
function startScene(seed: number): Scene {
  const world = new PacketWorld(seed);
  startModelDeployment(world);
  world.runFor(4_000);
  const [agent, ...others] = world.agents.filter(({ service }) => service === 'map');
  for (let index = 0; index < 40; index++) {
    world.openFlow(MAP_DESTINATION, 40, 100);
  }
  world.runFor(800);
  others.forEach((one) => (one.target.full = true));
  return { world, agent: agent! };
}

for (const stall of [700, 1_500, 2_500]) {
  test(`flows of a target that stands still for ${stall} ms are not reset`, (t) => {
    const { world, agent } = startScene(95);
    const held = world.clients.filter((client) => world.holderOf(client) === agent);
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

test('flows of a target that has ended are told so within a second', (t) => {
  const { world, agent } = startScene(96);
  const held = world.clients.filter((client) => world.holderOf(client) === agent);
  agent.target.alive = false;
  for (let index = 0; index < 30; index++) {
    world.openFlow(MAP_DESTINATION, 2, 50);
    world.runFor(30);
  }
  world.runFor(100);
  t.deepEqual([...new Set(held.map(({ state }) => state))], ['reset']);
});

test('only a refused connection proves a death, and any packet of the target disproves it', (t) => {
  const answers: ((isVacant: boolean) => void)[] = [];
  let proved = 0;
  const death = new TargetLiveness(
    { checkVacant: (answer) => answers.push(answer) },
    () => void proved++,
  );
  death.probeIfSilent(true, 1_000);
  death.probeIfSilent(true, 1_100);
  t.is(answers.length, 1, 'one look at a time');
  answers.shift()!(false);
  t.false(death.isDead);
  death.probeIfSilent(true, 1_100);
  t.is(answers.length, 0, 'not at once again');
  death.probeIfSilent(true, 1_600);
  answers.shift()!(true);
  t.true(death.isDead);
  t.is(proved, 1);
  death.recordActivity();
  t.false(death.isDead);
  death.probeIfSilent(true, 3_000);
  death.recordActivity();
  answers.shift()!(true);
  t.false(death.isDead, 'it was heard after the look had begun');
  death.probeIfSilent(false, 4_000);
  t.is(answers.length, 0, 'no look at a target that is not silent');
});
