/** A target that restarts under the same name: each start is a new incarnation. */
import test from 'ava';
import { readHeartbeat, serveHeartbeats } from '../platform/target-calls';
import { packEndpoint } from '../src/core/endpoint';
import { TargetState } from '../src/packets/packet-messages';
import { TargetLifecycle, type TargetHeartbeat } from '../src/packets/target-lifecycle';
import {
  PacketSimulation,
  type PacketSimulationAgent,
} from '../src/simulation/packets/packet-simulation';
import { MAP_DESTINATION, startModelDeployment } from '../src/simulation/packets/random-faults';
import { fetchStatus } from './support/fetch-status';
import { NO_VIOLATIONS } from './support/violations';

const INTERVAL_MS = 1_000;
const EARLIER = 1_796_000_000_000;
const LATER = EARLIER + 20_000;

function createHeartbeat(fields: Partial<TargetHeartbeat>): TargetHeartbeat {
  const state = { service: 'map', slots: 4, draining: false, coldLeft: 0, sequence: 1 };
  return { incarnation: 'i-1', ...state, ...fields };
}

/** An agent whose target has sent six heartbeats and drains. */
function startDraining(): TargetLifecycle {
  const agent = new TargetLifecycle('map', INTERVAL_MS, 0);
  for (let sequence = 1; sequence <= 6; sequence++) {
    agent.applyHeartbeat(
      createHeartbeat({ born: EARLIER, sequence, draining: sequence > 4 }),
      10_000 + 300 * sequence,
    );
  }
  return agent;
}

test('a later incarnation starts afresh, whatever the earlier one has sent', (t) => {
  const agent = startDraining();
  t.is(agent.state, TargetState.draining);
  const later = createHeartbeat({ born: LATER, sequence: 1, slots: 7, coldLeft: 900 });
  t.is(agent.applyHeartbeat(later, 12_000), 'incarnation');
  t.is(agent.state, TargetState.ready);
  t.is(agent.slots, 7);
  t.is(agent.coldLeft(12_000), 900);
  t.true(agent.isKnownFromStart, 'this agent was running when it started');
});

test('a late heartbeat of the earlier incarnation changes nothing', (t) => {
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

test('the same holds after a restart of the agent, in either order', (t) => {
  const restarted = new TargetLifecycle('map', INTERVAL_MS, 0);
  restarted.applyHeartbeat(createHeartbeat({ born: EARLIER, sequence: 9, draining: true }), 20_000);
  t.is(
    restarted.applyHeartbeat(createHeartbeat({ born: LATER, sequence: 3 }), 20_100),
    'incarnation',
  );
  t.is(restarted.state, TargetState.ready);
  const other = new TargetLifecycle('map', INTERVAL_MS, 0);
  other.applyHeartbeat(createHeartbeat({ born: LATER, sequence: 3 }), 20_000);
  t.is(
    other.applyHeartbeat(createHeartbeat({ born: EARLIER, sequence: 9, draining: true }), 20_100),
    'none',
  );
  t.is(other.state, TargetState.ready);
});

test('a shutdown is announced for one incarnation', (t) => {
  const agent = startDraining();
  t.is(agent.applyDeregistration({ incarnation: 'i-1', born: EARLIER }), 'state');
  t.is(agent.state, TargetState.gone);
  t.is(agent.applyHeartbeat(createHeartbeat({ born: EARLIER, sequence: 7 }), 12_000), 'none');
  t.is(agent.applyHeartbeat(createHeartbeat({ born: LATER, sequence: 1 }), 12_100), 'incarnation');
  t.is(agent.state, TargetState.ready);
  t.is(
    agent.applyDeregistration({ incarnation: 'i-1', born: EARLIER }),
    'none',
    'announced late, for the earlier one',
  );
  t.is(agent.state, TargetState.ready);
  t.is(
    agent.applyDeregistration({ incarnation: 'i-1' }),
    'state',
    'without a start time it applies to the current one',
  );
});

test('a later incarnation may belong to another service', (t) => {
  const agent = startDraining();
  t.is(
    agent.applyHeartbeat(createHeartbeat({ born: LATER, service: 'tiles' }), 12_000),
    'incarnation',
  );
  t.is(agent.service, 'tiles');
  t.false(agent.isServiceDisputed);
});

test('a target whose clock was set back is accepted after another heartbeat', (t) => {
  const agent = new TargetLifecycle('map', INTERVAL_MS, 0);
  agent.applyHeartbeat(createHeartbeat({ born: LATER, sequence: 8 }), 10_000);
  t.is(agent.applyHeartbeat(createHeartbeat({ born: EARLIER, sequence: 1 }), 11_500), 'none');
  t.is(
    agent.applyHeartbeat(createHeartbeat({ born: EARLIER, sequence: 2 }), 12_500),
    'incarnation',
  );
  t.is(agent.born, EARLIER);
});

test('targets may send no start time, and one may begin to send it', (t) => {
  const agent = new TargetLifecycle('map', INTERVAL_MS, 0);
  t.is(agent.applyHeartbeat(createHeartbeat({ sequence: 4, draining: true }), 10_000), 'state');
  t.is(agent.applyHeartbeat(createHeartbeat({ sequence: 2 }), 10_100), 'none');
  t.is(agent.applyHeartbeat(createHeartbeat({ sequence: 5, born: EARLIER }), 11_000), 'none');
  t.is(agent.state, TargetState.draining);
  t.is(agent.applyHeartbeat(createHeartbeat({ sequence: 1, born: LATER }), 12_000), 'incarnation');
});

test('the adapter reads the start time of heartbeats and of shutdown announcements', async (t) => {
  const text = JSON.stringify({ service: 'map', slots: 4, state: 'ready', seq: 1, born: EARLIER });
  t.is(readHeartbeat('i-1', text)!.born, EARLIER);
  t.is(readHeartbeat('i-1', text.replace(`,"born":${EARLIER}`, ''))!.born, undefined);
  const left: unknown[] = [];
  const server = serveHeartbeats(
    packEndpoint('127.63.1.1', 21_630),
    {
      handleHeartbeat: () => true,
      recordRefusedHeartbeat: () => undefined,
      handleTargetLeaving: (incarnation, born, acknowledge) => {
        left.push([incarnation, born]);
        acknowledge();
      },
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

function openFlows(world: PacketSimulation, count: number): void {
  for (let index = 0; index < count; index++) {
    world.openFlow(MAP_DESTINATION, 40, 100);
  }
}

/** Crashes an agent's target and restarts it under its name. */
function restartTarget(
  world: PacketSimulation,
  agent: PacketSimulationAgent,
  downTime: number,
  service?: string,
): void {
  const { id } = agent.target.identity;
  agent.target.alive = false;
  world.runFor(downTime);
  world.startTarget(agent, service, id);
}

for (const isDraining of [false, true]) {
  for (const restartsAgent of [false, true]) {
    const how = `${isDraining ? 'draining' : 'ready'}, agent ${restartsAgent ? 'restarted' : 'running'}`;
    test(`a target that was ${how}, gets flows after its restart, and no guarantee is violated`, (t) => {
      for (let seed = 80; seed < 84; seed++) {
        const world = new PacketSimulation(seed);
        startModelDeployment(world);
        world.runFor(4_000);
        const [agent] = world.agents;
        openFlows(world, 40);
        world.runFor(600);
        if (isDraining) {
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
        t.true(agent!.target.requestsRun > 0, `seed ${seed}: the next incarnation gets flows`);
        // Restarted balancers without state find the flows of the next incarnation.
        world.balancers.forEach((balancer) => world.startBalancer(balancer));
        world.runFor(8_000);
        t.deepEqual(world.violations, NO_VIOLATIONS, `seed ${seed}`);
      }
    });
  }
}

test('flows of the earlier incarnation are reset soon', (t) => {
  const world = new PacketSimulation(85);
  startModelDeployment(world);
  world.runFor(4_000);
  const [agent] = world.agents;
  openFlows(world, 60);
  world.runFor(800);
  const held = world.clients.filter((client) => world.findHolder(client) === agent);
  t.true(held.length > 0);
  restartTarget(world, agent!, 500);
  world.runFor(2_000);
  t.deepEqual([...new Set(held.map(({ state }) => state))], ['reset']);
});
