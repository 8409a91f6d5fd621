/** Random faults in a {@link PacketWorld}: the scenario of the soak on the packet interface. */
import { packEndpoint } from '../../core/endpoint';
import type { Endpoint } from '../../environment';
import { PacketWorld, type WorldAgent, type WorldBalancer } from './packet-world';

/** Destination of the map service's route. */
export const MAP_DESTINATION = packEndpoint('198.18.0.1', 8_443);
/** Destination of the tile service's route. */
export const TILE_DESTINATION = packEndpoint('198.18.0.2', 8_443);
/** The routes of the model deployment: services by destination. */
export const MODEL_ROUTES: ReadonlyMap<Endpoint, readonly string[]> = new Map([
  [MAP_DESTINATION, ['map']],
  [TILE_DESTINATION, ['tiles']],
]);

const ZONES = ['north', 'south', 'east'] as const;
const MAP_TARGETS = 4;
const SETTLING = 3_000;
const LOSS = 0.005;
const ROUNDS = 20;
const ROUND_LENGTH = 700;
const FLOWS_A_ROUND = 6;
const REQUESTS_A_FLOW = 12;
const PAUSE = 250;
const RECOVERY = 20_000;
const SHORTEST_FAULT = 200;
const LONGEST_FAULT = 2_500;

/** A running deployment: balancers in three zones, four map targets, two tile targets. */
export function startModelDeployment(world: PacketWorld, balancers = 3): void {
  world.configure(1, MODEL_ROUTES);
  for (let index = 0; index < balancers; index++) {
    world.addBalancer(ZONES[index % ZONES.length]!);
  }
  for (let index = 0; index < MAP_TARGETS; index++) {
    world.addAgent('map', ZONES[index % ZONES.length]!);
  }
  world.addAgent('tiles', 'north');
  world.addAgent('tiles', 'south');
  world.runFor(SETTLING);
}

/** Opens flows, a quarter of them to the tile service. */
export function openModelFlows(
  world: PacketWorld,
  count: number,
  requests = 20,
  pause = 300,
): void {
  for (let index = 0; index < count; index++) {
    world.openFlow(index % 4 === 0 ? TILE_DESTINATION : MAP_DESTINATION, requests, pause);
  }
}

/** One fault; it is undone after `length` milliseconds. */
type Fault = (
  world: PacketWorld,
  balancer: WorldBalancer,
  agent: WorldAgent,
  length: number,
) => void;

const FAULTS: readonly Fault[] = [
  (world, balancer, _agent, length) => {
    balancer.process.kill();
    world.clock.schedule(length, () => world.startBalancer(balancer));
  },
  (world, _balancer, agent, length) => {
    agent.process.kill();
    world.clock.schedule(length, () => world.startAgent(agent));
  },
  (world, balancer, _agent, length) => {
    balancer.process.freeze();
    world.clock.schedule(length, () => balancer.process.wake());
  },
  (world, balancer, agent, length) => {
    const cut = { from: agent.name, to: balancer.name };
    world.network.cut(cut);
    world.clock.schedule(length, () => world.network.heal(cut));
  },
  (world, _balancer, _agent, length) => {
    world.store.down = true;
    world.clock.schedule(length, () => (world.store.down = false));
  },
  (world) => world.store.compact(),
  (world, balancer, _agent, length) => {
    world.store.evacuate(balancer.zone);
    world.clock.schedule(length, () => world.store.restore(balancer.zone));
  },
  (world, _balancer, agent) => void world.startTarget(agent),
  (world) => world.configure(Math.ceil(world.clock.now), MODEL_ROUTES),
];

function disturb(world: PacketWorld): void {
  const { random } = world;
  const balancer = random.pick(world.balancers);
  const agent = random.pick(world.agents);
  const fault = random.pick(FAULTS);
  const length = random.between(SHORTEST_FAULT, LONGEST_FAULT);
  const noteFaults = (): void =>
    [balancer, agent].forEach(({ name }) => world.judge.noteFault(name));
  noteFaults();
  world.clock.schedule(length, noteFaults);
  fault(world, balancer, agent, length);
}

/** Runs the scenario with one seed and returns the world as it ended. */
export function runRandomFaults(seed: number): PacketWorld {
  const world = new PacketWorld(seed);
  startModelDeployment(world);
  world.network.quality.loss = LOSS;
  for (let round = 0; round < ROUNDS; round++) {
    openModelFlows(world, FLOWS_A_ROUND, REQUESTS_A_FLOW, PAUSE);
    disturb(world);
    world.runFor(ROUND_LENGTH);
  }
  world.runFor(RECOVERY);
  return world;
}

/** Number of promises that a run has seen broken. */
export function countViolations({ violations }: PacketWorld): number {
  return Object.values(violations).reduce((sum, list: string[]) => sum + list.length, 0);
}
