/** Random faults in a {@link PacketSimulation}: scenario of the packet interface's soak. */
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
/** Routes of the model deployment: service names by destination. */
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

/** Starts a deployment: balancers in three zones, four map targets, two tile targets. */
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

/** Injects a fault, which ends after `length` milliseconds. */
type Fault = (
  simulation: PacketSimulation,
  balancer: PacketSimulationBalancer,
  agent: PacketSimulationAgent,
  length: number,
) => void;

const FAULTS: readonly Fault[] = [
  (simulation, balancer, _agent, length) => {
    balancer.process.kill();
    simulation.clock.schedule(length, () => simulation.startBalancer(balancer));
  },
  (simulation, _balancer, agent, length) => {
    agent.process.kill();
    simulation.clock.schedule(length, () => simulation.startAgent(agent));
  },
  (simulation, balancer, _agent, length) => {
    balancer.process.freeze();
    simulation.clock.schedule(length, () => balancer.process.resume());
  },
  (simulation, balancer, agent, length) => {
    const cut = { from: agent.name, to: balancer.name };
    simulation.network.cut(cut);
    simulation.clock.schedule(length, () => simulation.network.heal(cut));
  },
  (simulation, _balancer, _agent, length) => {
    simulation.store.isDown = true;
    simulation.clock.schedule(length, () => (simulation.store.isDown = false));
  },
  (simulation) => simulation.store.compactHistory(),
  (simulation, balancer, _agent, length) => {
    simulation.store.evacuate(balancer.zone);
    simulation.clock.schedule(length, () => simulation.store.cancelEvacuation(balancer.zone));
  },
  (simulation, _balancer, agent) => void simulation.startTarget(agent),
  (simulation) => simulation.configure(Math.ceil(simulation.clock.now), MODEL_ROUTES),
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

/** Runs the scenario with a seed and returns the simulation at its end. */
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

/** Counts the violations found in a run. */
export function countViolations({ violations }: PacketSimulation): number {
  return Object.values(violations).reduce((sum, list: string[]) => sum + list.length, 0);
}
