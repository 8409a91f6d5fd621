/** Random faults in a {@link PacketSimulation}: the scenario of the soak on the packet interface. */
import { packEndpoint } from '../../core/endpoint';
import type { Endpoint } from '../../environment';
import {
  PacketSimulation,
  type PacketSimulationAgent,
  type PacketSimulationBalancer,
} from './packet-simulation';

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
const SETTLING_TIME_MS = 3_000;
const LOSS_PROBABILITY = 0.005;
const ROUND_COUNT = 20;
const ROUND_LENGTH_MS = 700;
const FLOWS_PER_ROUND = 6;
const REQUESTS_PER_FLOW = 12;
const REQUEST_PAUSE_MS = 250;
const RECOVERY_TIME_MS = 20_000;
const MINIMUM_FAULT_LENGTH_MS = 200;
const MAXIMUM_FAULT_LENGTH_MS = 2_500;

/** A running deployment: balancers in three zones, four map targets, two tile targets. */
export function startModelDeployment(simulation: PacketSimulation, balancers = 3): void {
  simulation.configure(1, MODEL_ROUTES);
  for (let index = 0; index < balancers; index++) {
    simulation.addBalancer(ZONES[index % ZONES.length]!);
  }
  for (let index = 0; index < MAP_TARGETS; index++) {
    simulation.addAgent('map', ZONES[index % ZONES.length]!);
  }
  simulation.addAgent('tiles', 'north');
  simulation.addAgent('tiles', 'south');
  simulation.runFor(SETTLING_TIME_MS);
}

/** Opens flows, a quarter of them to the tile service. */
export function openModelFlows(
  simulation: PacketSimulation,
  count: number,
  requests = 20,
  pause = 300,
): void {
  for (let index = 0; index < count; index++) {
    simulation.openFlow(index % 4 === 0 ? TILE_DESTINATION : MAP_DESTINATION, requests, pause);
  }
}

/** One fault; it is undone after `length` milliseconds. */
type Fault = (
  world: PacketSimulation,
  balancer: PacketSimulationBalancer,
  agent: PacketSimulationAgent,
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
    world.clock.schedule(length, () => balancer.process.resume());
  },
  (world, balancer, agent, length) => {
    const cut = { from: agent.name, to: balancer.name };
    world.network.cut(cut);
    world.clock.schedule(length, () => world.network.heal(cut));
  },
  (world, _balancer, _agent, length) => {
    world.store.isDown = true;
    world.clock.schedule(length, () => (world.store.isDown = false));
  },
  (world) => world.store.compactHistory(),
  (world, balancer, _agent, length) => {
    world.store.evacuate(balancer.zone);
    world.clock.schedule(length, () => world.store.cancelEvacuation(balancer.zone));
  },
  (world, _balancer, agent) => void world.startTarget(agent),
  (world) => world.configure(Math.ceil(world.clock.now), MODEL_ROUTES),
];

function injectFault(simulation: PacketSimulation): void {
  const { random } = simulation;
  const balancer = random.pick(simulation.balancers);
  const agent = random.pick(simulation.agents);
  const fault = random.pick(FAULTS);
  const length = random.between(MINIMUM_FAULT_LENGTH_MS, MAXIMUM_FAULT_LENGTH_MS);
  const recordFaults = (): void =>
    [balancer, agent].forEach(({ name }) => simulation.checker.recordFault(name));
  recordFaults();
  simulation.clock.schedule(length, recordFaults);
  fault(simulation, balancer, agent, length);
}

/** Runs the scenario with one seed and returns the world as it ended. */
export function runRandomFaults(seed: number): PacketSimulation {
  const simulation = new PacketSimulation(seed);
  startModelDeployment(simulation);
  simulation.network.quality.loss = LOSS_PROBABILITY;
  for (let round = 0; round < ROUND_COUNT; round++) {
    openModelFlows(simulation, FLOWS_PER_ROUND, REQUESTS_PER_FLOW, REQUEST_PAUSE_MS);
    injectFault(simulation);
    simulation.runFor(ROUND_LENGTH_MS);
  }
  simulation.runFor(RECOVERY_TIME_MS);
  return simulation;
}

/** Number of promises that a run has seen broken. */
export function countViolations({ violations }: PacketSimulation): number {
  return Object.values(violations).reduce((sum, list: string[]) => sum + list.length, 0);
}
