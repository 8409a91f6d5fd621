/** Simulations of the packet interface: guarantees while processes, targets and the store fail. */
import test from 'ava';
import { Events } from '../src/logging/events';
import { AgentDirectory } from '../src/packets/agent-directory';
import {
  TargetState,
  type ReportMessage,
  type TargetStateValue,
} from '../src/packets/packet-messages';
import { createReport } from './support/reports';
import { modelPacketFormat } from '../src/simulation/packets/model-packet-format';
import type { ModelTarget } from '../src/simulation/packets/model-target';
import {
  PacketSimulation,
  type PacketSimulationAgent,
} from '../src/simulation/packets/packet-simulation';
import {
  MAP_DESTINATION,
  MODEL_ROUTES,
  openModelFlows,
  runRandomFaults,
  startModelDeployment,
  TILE_DESTINATION,
} from '../src/simulation/packets/random-faults';
import { NO_VIOLATIONS } from './support/violations';

function startWorld(seed = 1, balancers = 3): PacketSimulation {
  const world = new PacketSimulation(seed);
  startModelDeployment(world, balancers);
  return world;
}

function countInState(world: PacketSimulation, state: string): number {
  return world.clients.filter((client) => client.state === state).length;
}

test('a deployment without faults serves and balances all flows', (t) => {
  const world = startWorld();
  openModelFlows(world, 60);
  world.runFor(2_000);
  const maps = world.agents.filter(({ service }) => service === 'map');
  const flows = maps.map(({ target }) => target.flows.size);
  t.true(Math.max(...flows) - Math.min(...flows) <= 6, `flows by target: ${flows.join(', ')}`);
  world.runFor(10_000);
  t.is(countInState(world, 'done'), 60);
  t.deepEqual(world.violations, NO_VIOLATIONS);
});

test('flows of a killed balancer continue through the others', (t) => {
  const world = startWorld();
  openModelFlows(world, 40);
  world.runFor(1_000);
  world.balancers[0]!.process.kill();
  world.runFor(12_000);
  t.is(countInState(world, 'done'), 40);
  t.deepEqual(world.violations, NO_VIOLATIONS);
});

test('a restarted balancer finds flows that it does not know', (t) => {
  const world = startWorld(2, 1);
  openModelFlows(world, 30);
  world.runFor(1_000);
  world.startBalancer(world.balancers[0]!);
  world.runFor(12_000);
  t.is(countInState(world, 'done'), 30);
  t.deepEqual(world.violations, NO_VIOLATIONS);
});

test('a balancer without a complete view of the agents never resets a flow', (t) => {
  const world = startWorld(3, 1);
  openModelFlows(world, 30, 40);
  world.runFor(1_000);
  world.store.isDown = true;
  const [balancer] = world.balancers;
  const [agent] = world.agents;
  // One target is unreachable when the balancer restarts without any state.
  const cuts = [
    { from: agent!.name, to: balancer!.name },
    { from: balancer!.name, to: agent!.name },
  ];
  cuts.forEach((cut) => world.network.cut(cut));
  world.startBalancer(balancer!);
  balancer!.node.router.apply({
    version: 1,
    idleTimeout: 1,
    profiles: [],
    routes: [
      { name: 'map', destination: MAP_DESTINATION, services: [{ service: 'map', weight: 1 }] },
      { name: 'tiles', destination: TILE_DESTINATION, services: [{ service: 'tiles', weight: 1 }] },
    ],
  });
  world.runFor(1_000);
  cuts.forEach((cut) => world.network.heal(cut));
  world.runFor(4_000);
  t.deepEqual(world.violations, NO_VIOLATIONS);
  t.is(balancer!.node.router.counters.resetsSent, 0);
  world.store.isDown = false;
  world.runFor(20_000);
  t.is(countInState(world, 'done'), 30);
});

test('a balancer that the store refuses gets table and view from a peer', (t) => {
  const world = startWorld(4, 2);
  world.store.refusedProcesses.add('balancer-2');
  const late = world.addBalancer('east');
  world.runFor(2_000);
  t.true(late.node.isReady);
  t.is(late.node.figures.agentsKnown, 6);
  world.configure(5, MODEL_ROUTES);
  world.runFor(2_500);
  t.is(late.node.figures.routingVersion, 5);
});

test('a routing table is never replaced by an earlier version', (t) => {
  const world = startWorld(5, 2);
  world.configure(9, MODEL_ROUTES);
  world.runFor(500);
  world.store.compactHistory();
  world.configure(7, MODEL_ROUTES);
  world.runFor(4_000);
  world.balancers.forEach(({ node }) => t.is(node.figures.routingVersion, 9));
});

test('a compacted store history leads to a new listing', (t) => {
  const world = startWorld(6, 2);
  world.store.isDown = true;
  world.runFor(15_000);
  world.configure(3, MODEL_ROUTES);
  world.store.compactHistory();
  world.store.isDown = false;
  world.runFor(5_000);
  world.balancers.forEach(({ node }) => t.is(node.figures.routingVersion, 3));
});

test('flows survive the restart of the agent of their target', (t) => {
  const world = startWorld(7);
  openModelFlows(world, 40);
  world.runFor(1_000);
  for (const agent of world.agents) {
    agent.node.beginStop(() => undefined);
    agent.process.kill();
    world.runFor(300);
    world.startAgent(agent);
    world.runFor(700);
  }
  world.runFor(12_000);
  t.is(countInState(world, 'done'), 40);
  t.deepEqual(world.violations, NO_VIOLATIONS);
});

test('a search does not repeat offers to the same targets while the holder is stopped', (t) => {
  const world = startWorld(16, 1);
  for (let index = 0; index < 20; index++) {
    world.openFlow(MAP_DESTINATION, 5, 2_500);
  }
  world.runFor(1_000);
  const away = world.agents[0]!;
  const held = [...away.target.flows.keys()].length;
  t.true(held > 0);
  // The flows are idle; the balancer restarts without knowing them; one agent is stopped.
  world.startBalancer(world.balancers[0]!);
  world.runFor(1_000);
  away.node.beginStop(() => away.process.kill());
  world.runFor(3_500);
  world.startAgent(away);
  world.runFor(15_000);
  t.deepEqual(world.violations, NO_VIOLATIONS);
  t.is(countInState(world, 'done'), 20);
});

test('packets for a stopped agent are delivered as soon as it has restarted', (t) => {
  const world = startWorld(17, 1);
  openModelFlows(world, 24, 40, 100);
  world.runFor(1_000);
  const away = world.agents[0]!;
  away.node.beginStop(() => away.process.kill());
  world.runFor(900);
  world.startAgent(away);
  const before = world.clock.now;
  world.runFor(250);
  const waiting = world.clients.filter(
    (client) => world.findHolder(client) === away && !client.answeredAt.some((at) => at > before),
  );
  t.deepEqual(
    waiting.map(({ state, answers, plan }) => ({ state, answers, client: plan.client })),
    [],
  );
  world.runFor(20_000);
  t.is(countInState(world, 'done'), 24);
  t.deepEqual(world.violations, NO_VIOLATIONS);
});

/** Blocks an agent's reports, so that balancers keep their outdated state of it; returns the undo. */
function blockReports(world: PacketSimulation, agent: PacketSimulationAgent): () => void {
  const cuts = world.balancers.map(({ name }) => ({ from: agent.name, to: name }));
  cuts.forEach((cut) => world.network.cut(cut));
  return () => cuts.forEach((cut) => world.network.heal(cut));
}

/** Counts the opening packets that reach a target from now on; returns the reader of the count. */
function countOpenings(target: ModelTarget): () => number {
  let openings = 0;
  const receive = target.receive.bind(target);
  target.receive = (bytes) => {
    openings += modelPacketFormat.decodeFromClient(bytes)?.opens ? 1 : 0;
    receive(bytes);
  };
  return () => openings;
}

test('a draining target gets no new flow, even from a balancer without that information', (t) => {
  const world = startWorld(8);
  const draining = world.agents[0]!;
  const heal = blockReports(world, draining);
  world.drain(draining);
  const openings = countOpenings(draining.target);
  openModelFlows(world, 40);
  world.runFor(400);
  heal();
  world.runFor(15_000);
  t.is(openings(), 0);
  t.deepEqual(world.violations, NO_VIOLATIONS);
  t.is(countInState(world, 'done'), 40);
});

test('an address reused by another service gets no packets of the earlier one', (t) => {
  const world = startWorld(18);
  const reused = world.agents[0]!;
  const heal = blockReports(world, reused);
  world.startTarget(reused, 'tiles');
  const openings = countOpenings(reused.target);
  for (let index = 0; index < 40; index++) {
    world.openFlow(MAP_DESTINATION, 10, 200);
  }
  world.runFor(400);
  t.is(openings(), 0);
  heal();
  world.runFor(15_000);
  t.deepEqual(world.violations, NO_VIOLATIONS);
  t.is(countInState(world, 'done'), 40);
});

test('a new flow refused by a full target is placed at one with free slots', (t) => {
  const world = startWorld(9);
  world.agents[0]!.target.isFull = true;
  world.agents[1]!.target.isFull = true;
  openModelFlows(world, 24, 3, 100);
  world.runFor(5_000);
  t.is(countInState(world, 'done'), 24);
});

test('a new flow that no target accepts is reset at once', (t) => {
  const world = startWorld(10);
  world.agents.forEach(({ target }) => (target.isFull = true));
  const client = world.openFlow(MAP_DESTINATION, 1, 100);
  world.runFor(100);
  t.is(client.state, 'reset');
});

test('after all machines lose power, clients get resets for their dead flows at once', (t) => {
  const world = startWorld(11);
  openModelFlows(world, 40, 100, 100);
  world.runFor(1_000);
  world.restartAll(800);
  // A client retransmits after at most 1.6 s; the response to that packet is the reset.
  world.runFor(1_900);
  t.is(countInState(world, 'reset'), 40);
});

test('an agent that does not return is removed from the registry, and its flows are reset', (t) => {
  const world = startWorld(12);
  openModelFlows(world, 20, 200, 300);
  world.runFor(1_000);
  const lost = world.agents[0]!;
  lost.process.kill();
  lost.target.alive = false;
  world.runFor(20_000);
  t.false(world.store.agents.items.has(String(lost.address)));
  t.deepEqual(world.violations, NO_VIOLATIONS);
  t.is(countInState(world, 'open') + countInState(world, 'reset'), 20);
  t.true(countInState(world, 'reset') > 0);
});

test('an agent that the store refuses is registered by a balancer', (t) => {
  const world = startWorld(13);
  world.store.refusedProcesses.add('agent-6');
  const late = world.addAgent('map', 'north');
  world.runFor(6_000);
  t.true(world.store.agents.items.has(String(late.address)));
});

test('the entry of a target that shuts down is removed', (t) => {
  const world = startWorld(14);
  const leaving = world.agents[0]!;
  world.drain(leaving);
  world.deregister(leaving);
  leaving.target.alive = false;
  leaving.node.beginStop(() => leaving.process.kill());
  world.runFor(500);
  t.false(world.store.agents.items.has(String(leaving.address)));
});

test('a forged or broken frame changes nothing and is counted', (t) => {
  const reported: string[] = [];
  const world = new PacketSimulation(15, (_process, event) => reported.push(event.name));
  world.configure(1, MODEL_ROUTES);
  const balancer = world.addBalancer('north');
  world.runFor(1_000);
  balancer.node.handleFrame(Buffer.from('not a frame'), 1);
  balancer.node.handleFrame(Buffer.alloc(64, 1), 1);
  balancer.node.handleClientDatagram(Buffer.from('short'));
  t.is(balancer.node.figures.framesRejected, 2);
  t.is(balancer.node.router.counters.packetsMalformed, 1);
  t.true(reported.includes(Events.packetMalformed.name));
  t.true(reported.includes(Events.frameNotAuthentic.name));
});

test('a report that arrives after a later one is ignored', (t) => {
  const directory = new AgentDirectory();
  const report = (run: number, sequence: number, state: TargetStateValue): ReportMessage =>
    createReport({ run, sequence, state });
  t.truthy(directory.recordReport(1, report(7, 1, TargetState.ready), 10));
  t.truthy(directory.recordReport(1, report(7, 3, TargetState.agentRestarting), 11));
  t.is(directory.recordReport(1, report(7, 2, TargetState.ready), 12), undefined);
  t.is(directory.find(1)!.report!.state, TargetState.agentRestarting);
  t.truthy(directory.recordReport(1, report(8, 1, TargetState.unknown), 500));
  t.is(directory.recordReport(1, report(7, 4, TargetState.ready), 501), undefined);
});

for (const seed of [101, 102, 103, 104, 105, 106, 107, 108]) {
  test(`random faults cause no violations, seed ${seed}`, (t) => {
    const world = runRandomFaults(seed);
    t.deepEqual(world.violations, NO_VIOLATIONS);
    const served = countInState(world, 'done') / world.clients.length;
    t.true(served > 0.6, `served ${served}`);
  });
}
