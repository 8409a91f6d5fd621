/** A target that starts again under the name that it had: each start is a life of its own. */
import test from 'ava';
import { readHeartbeat, serveHeartbeats } from '../platform/target-calls';
import { packEndpoint } from '../src/core/endpoint';
import { TargetState } from '../src/packets/packet-messages';
import { TargetLifecycle, type TargetHeartbeat } from '../src/packets/target-lifecycle';
import { PacketWorld, type WorldAgent } from '../src/simulation/packets/packet-world';
import { MAP_DESTINATION, startModelDeployment } from '../src/simulation/packets/random-faults';
import { fetchStatus } from './support/fetch-status';
import { NO_VIOLATIONS } from './support/violations';

const INTERVAL = 1_000;
const EARLIER = 1_796_000_000_000;
const LATER = EARLIER + 20_000;
function createHeartbeat(fields: Partial<TargetHeartbeat>): TargetHeartbeat {
  const state = { service: 'map', slots: 4, draining: false, coldLeft: 0, sequence: 1 };
  return { incarnation: 'i-1', ...state, ...fields };
}

/** An agent whose target has sent six heartbeats and drains. */
function startDraining(): TargetLifecycle {
  const agent = new TargetLifecycle('map', INTERVAL, 0);
  for (let sequence = 1; sequence <= 6; sequence++) {
    agent.applyHeartbeat(
      createHeartbeat({ born: EARLIER, sequence, draining: sequence > 4 }),
      10_000 + 300 * sequence,
    );
  }
  return agent;
}

test('a later life begins anew, whatever the earlier one has said', (t) => {
  const agent = startDraining();
  t.is(agent.state, TargetState.draining);
  const later = createHeartbeat({ born: LATER, sequence: 1, slots: 7, coldLeft: 900 });
  t.is(agent.applyHeartbeat(later, 12_000), 'incarnation');
  t.is(agent.state, TargetState.ready);
  t.is(agent.slots, 7);
  t.is(agent.coldLeft(12_000), 900);
  t.true(agent.isKnownFromStart, 'this agent was there when it began');
});

test('a late heartbeat of the earlier life changes nothing', (t) => {
  const agent = startDraining();
  agent.applyHeartbeat(createHeartbeat({ born: LATER, sequence: 1 }), 12_000);
  t.is(
    agent.applyHeartbeat(createHeartbeat({ born: EARLIER, sequence: 9, draining: true }), 12_100),
    'none',
  );
  t.is(agent.state, TargetState.ready);
  t.is(agent.applyHeartbeat(createHeartbeat({ born: LATER, sequence: 2 }), 13_000), 'none');
  t.is(agent.born, LATER);
});

test('so it is after the agent was restarted, in either order', (t) => {
  const restarted = new TargetLifecycle('map', INTERVAL, 0);
  restarted.applyHeartbeat(createHeartbeat({ born: EARLIER, sequence: 9, draining: true }), 20_000);
  t.is(
    restarted.applyHeartbeat(createHeartbeat({ born: LATER, sequence: 3 }), 20_100),
    'incarnation',
  );
  t.is(restarted.state, TargetState.ready);
  const other = new TargetLifecycle('map', INTERVAL, 0);
  other.applyHeartbeat(createHeartbeat({ born: LATER, sequence: 3 }), 20_000);
  t.is(
    other.applyHeartbeat(createHeartbeat({ born: EARLIER, sequence: 9, draining: true }), 20_100),
    'none',
  );
  t.is(other.state, TargetState.ready);
});

test('leaving is said of one life', (t) => {
  const agent = startDraining();
  t.is(agent.applyLeave({ incarnation: 'i-1', born: EARLIER }), 'state');
  t.is(agent.state, TargetState.gone);
  t.is(agent.applyHeartbeat(createHeartbeat({ born: EARLIER, sequence: 7 }), 12_000), 'none');
  t.is(agent.applyHeartbeat(createHeartbeat({ born: LATER, sequence: 1 }), 12_100), 'incarnation');
  t.is(agent.state, TargetState.ready);
  t.is(
    agent.applyLeave({ incarnation: 'i-1', born: EARLIER }),
    'none',
    'said late, of the earlier one',
  );
  t.is(agent.state, TargetState.ready);
  t.is(
    agent.applyLeave({ incarnation: 'i-1' }),
    'state',
    'without a start it is said of the present one',
  );
});

test('a later life may belong to another service', (t) => {
  const agent = startDraining();
  t.is(
    agent.applyHeartbeat(createHeartbeat({ born: LATER, service: 'tiles' }), 12_000),
    'incarnation',
  );
  t.is(agent.service, 'tiles');
  t.false(agent.isServiceDisputed);
});

test('a target whose clock has gone back is believed once it is heard again', (t) => {
  const agent = new TargetLifecycle('map', INTERVAL, 0);
  agent.applyHeartbeat(createHeartbeat({ born: LATER, sequence: 8 }), 10_000);
  t.is(agent.applyHeartbeat(createHeartbeat({ born: EARLIER, sequence: 1 }), 11_500), 'none');
  t.is(
    agent.applyHeartbeat(createHeartbeat({ born: EARLIER, sequence: 2 }), 12_500),
    'incarnation',
  );
  t.is(agent.born, EARLIER);
});

test('targets that do not tell their start are as before, and one may begin to tell it', (t) => {
  const agent = new TargetLifecycle('map', INTERVAL, 0);
  t.is(agent.applyHeartbeat(createHeartbeat({ sequence: 4, draining: true }), 10_000), 'state');
  t.is(agent.applyHeartbeat(createHeartbeat({ sequence: 2 }), 10_100), 'none');
  t.is(agent.applyHeartbeat(createHeartbeat({ sequence: 5, born: EARLIER }), 11_000), 'none');
  t.is(agent.state, TargetState.draining);
  t.is(agent.applyHeartbeat(createHeartbeat({ sequence: 1, born: LATER }), 12_000), 'incarnation');
});

test('the adapter reads the start of heartbeats, and of a target that leaves', async (t) => {
  const text = JSON.stringify({ service: 'map', slots: 4, state: 'ready', seq: 1, born: EARLIER });
  t.is(readHeartbeat('i-1', text)!.born, EARLIER);
  t.is(readHeartbeat('i-1', text.replace(`,"born":${EARLIER}`, ''))!.born, undefined);
  const left: unknown[] = [];
  const server = serveHeartbeats(
    packEndpoint('127.63.1.1', 21_630),
    {
      heartbeat: () => true,
      heartbeatRefused: () => undefined,
      targetLeaves: (incarnation, born) => left.push([incarnation, born]),
    },
    (error) => t.fail(error.message),
  );
  t.teardown(() => server.close());
  const path = '/hallhold/instances/i-1';
  await fetchStatus('127.63.1.1', 21_630, 'DELETE', path, JSON.stringify({ born: LATER }));
  await fetchStatus('127.63.1.1', 21_630, 'DELETE', path, '');
  t.deepEqual(left, [
    ['i-1', LATER],
    ['i-1', undefined],
  ]);
});

function openFlows(world: PacketWorld, count: number): void {
  for (let index = 0; index < count; index++) {
    world.openFlow(MAP_DESTINATION, 40, 100);
  }
}

/** The target beside an agent crashes and starts again under its name. */
function restartTarget(
  world: PacketWorld,
  agent: WorldAgent,
  away: number,
  service?: string,
): void {
  const { id } = agent.target.life;
  agent.target.alive = false;
  world.runFor(away);
  world.startTarget(agent, service, id);
}

for (const drains of [false, true]) {
  for (const restartsAgent of [false, true]) {
    const how = `${drains ? 'draining' : 'ready'}, agent ${restartsAgent ? 'restarted' : 'goes on'}`;
    test(`a target that was ${how}, gets flows in its next life, and no promise is broken`, (t) => {
      for (let seed = 80; seed < 84; seed++) {
        const world = new PacketWorld(seed);
        startModelDeployment(world);
        world.runFor(4_000);
        const [agent] = world.agents;
        openFlows(world, 40);
        world.runFor(600);
        if (drains) {
          world.drain(agent!);
          world.runFor(1_000);
        }
        if (restartsAgent) {
          agent!.process.kill();
        }
        restartTarget(world, agent!, 700);
        if (restartsAgent) {
          world.runFor(200);
          world.startAgent(agent!);
        }
        world.runFor(3_500);
        openFlows(world, 60);
        world.runFor(3_000);
        t.true(agent!.target.requestsRun > 0, `seed ${seed}: the next life gets flows`);
        // Flows of the next life are found by balancers that know nothing.
        world.balancers.forEach((balancer) => world.startBalancer(balancer));
        world.runFor(8_000);
        t.deepEqual(world.violations, NO_VIOLATIONS, `seed ${seed}`);
      }
    });
  }
}

test('flows of the earlier life are told to be dead soon', (t) => {
  const world = new PacketWorld(85);
  startModelDeployment(world);
  world.runFor(4_000);
  const [agent] = world.agents;
  openFlows(world, 60);
  world.runFor(800);
  const held = world.clients.filter((client) => world.holderOf(client) === agent);
  t.true(held.length > 0);
  restartTarget(world, agent!, 500);
  world.runFor(2_000);
  t.deepEqual([...new Set(held.map(({ state }) => state))], ['reset']);
});
