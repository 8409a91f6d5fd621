/** New flows to cold targets in any second, across all balancers. */
import test from 'ava';
import { ColdStartLimiter, type ColdStartLimitSettings } from '../src/packets/cold-start-limiter';
import { RefusalReason } from '../src/packets/packet-messages';
import { ServiceProfileView } from '../src/packets/service-profile-view';
import { TargetLifecycle, type TargetHeartbeat } from '../src/packets/target-lifecycle';
import {
  PacketSimulation,
  type PacketSimulationAgent,
} from '../src/simulation/packets/packet-simulation';
import {
  MODEL_ROUTES,
  openModelFlows,
  startModelDeployment,
} from '../src/simulation/packets/random-faults';
import { RouterHarness } from './support/router-harness';

const SETTINGS = { overshoot: 1.5, slack: 5 };
const RATES = {
  version: 3,
  services: [{ service: 'map', latencyGoal: 200, coldTime: 2_000, coldRate: 2 }],
};
/** In the simulation: a rate of 3, an overshoot of 1 and a slack of 2. */
const WORLD_RATE = 3;
const WORLD_LIMIT = 5;

function createHeartbeat(sequence: number, coldLeft: number): TargetHeartbeat {
  return { incarnation: 'i', service: 'map', slots: 1, draining: false, coldLeft, sequence };
}

interface LimiterSetup {
  readonly target: TargetLifecycle;
  readonly profiles: ServiceProfileView;
  readonly limiter: ColdStartLimiter;
}

function createLimiter(
  startedAt = -10_000,
  settings: ColdStartLimitSettings | undefined = SETTINGS,
): LimiterSetup {
  const target = new TargetLifecycle('map', 770, 0);
  const profiles = new ServiceProfileView(target);
  return { target, profiles, limiter: new ColdStartLimiter(target, profiles, settings, startedAt) };
}

/** Number of new flows that pass when one is tried every 10 ms. */
function countPassing(limiter: ColdStartLimiter, from: number, to: number): number {
  let passing = 0;
  for (let now = from; now < to; now += 10) {
    if (!limiter.isReached(now)) {
      limiter.recordOpening(now);
      passing++;
    }
  }
  return passing;
}

test('a cold target gets its rate with overshoot and slack in any second, a warm one more', (t) => {
  const { target, profiles, limiter } = createLimiter();
  profiles.apply(RATES);
  target.applyHeartbeat(createHeartbeat(1, 3_000), 0);
  t.is(countPassing(limiter, 0, 1_000), 8);
  t.is(countPassing(limiter, 1_000, 2_000), 8);
  t.is(countPassing(limiter, 3_010, 3_110), 10);
});

test('new flows to a warm target count in the second in which it becomes cold', (t) => {
  const { target, profiles, limiter } = createLimiter();
  profiles.apply(RATES);
  target.applyHeartbeat(createHeartbeat(1, 0), 0);
  t.is(countPassing(limiter, 0, 60), 6);
  target.applyHeartbeat(createHeartbeat(2, 2_000), 60);
  t.is(countPassing(limiter, 60, 900), 2);
});

test('an agent that knows neither age nor rate passes only the slack', (t) => {
  const { target, profiles, limiter } = createLimiter();
  t.is(countPassing(limiter, 0, 1_000), 5);
  profiles.apply(RATES);
  t.is(countPassing(limiter, 1_060, 1_900), 8);
  target.applyHeartbeat(createHeartbeat(9, 0), 1_900);
  t.is(countPassing(limiter, 1_900, 2_000), 10);
  target.forgetAge();
  t.true(limiter.isReached(2_000));
});

test('a new agent reserves a second for what its earlier incarnation may have forwarded', (t) => {
  const { target, profiles, limiter } = createLimiter(0);
  profiles.apply(RATES);
  target.applyHeartbeat(createHeartbeat(5, 2_000), 10);
  t.is(countPassing(limiter, 0, 1_050), 0);
  t.is(countPassing(limiter, 1_050, 1_800), 8);
  const fresh = createLimiter(0);
  fresh.profiles.apply(RATES);
  fresh.target.applyHeartbeat(createHeartbeat(1, 2_000), 10);
  t.is(countPassing(fresh.limiter, 10, 900), 8);
});

test('rates of an earlier table change nothing; a service without a rate has no limit', (t) => {
  const { profiles, limiter } = createLimiter();
  profiles.apply({ version: 5, services: [] });
  profiles.apply(RATES);
  t.is(countPassing(limiter, 0, 1_000), 100);
  const unlimited = new ColdStartLimiter(
    new TargetLifecycle('map', 770, 0),
    profiles,
    undefined,
    0,
  );
  t.is(countPassing(unlimited, 0, 1_000), 100);
});

test('a balancer leaves out an agent at its limit for a moment, and refuses when all are', (t) => {
  const harness = new RouterHarness([2, 2]);
  harness.router.route(harness.createOpening(1));
  for (let refusals = 0; refusals < 2; refusals++) {
    const { to, message } = harness.sent.at(-1)!;
    harness.router.handleRefusal(to, { ...message, reason: RefusalReason.coldLimit } as never);
  }
  t.deepEqual(harness.resets, [1]);
  const sent = harness.sent.length;
  harness.router.route(harness.createOpening(2));
  t.deepEqual(harness.resets, [1, 2]);
  t.is(harness.sent.length, sent);
  harness.runFor(101);
  harness.router.route(harness.createOpening(3));
  t.is(harness.sent.length, sent + 1);
});

function startWorld(seed: number): PacketSimulation {
  const world = new PacketSimulation(seed);
  startModelDeployment(world);
  world.configure(2, MODEL_ROUTES, [
    { service: 'map', latencyGoal: 0, coldTime: 2_000, coldRate: WORLD_RATE },
  ]);
  world.runFor(1_000);
  return world;
}

/** Maximum new flows that an agent's targets got in any second between two times. */
function countMostInASecond({ openings }: PacketSimulationAgent, from: number, to: number): number {
  const counted = openings.filter((at) => at >= from && at <= to);
  const spans = counted.map((at) => counted.filter((one) => one >= at && one < at + 1_000).length);
  return Math.max(0, ...spans);
}

/** Opens flows fast enough to keep warm targets busy, so that cold ones get some too. */
function overload(world: PacketSimulation, milliseconds: number): void {
  for (let passed = 0; passed < milliseconds; passed += 50) {
    openModelFlows(world, 12, 1, 50);
    world.runFor(50);
  }
}

test('a new target is within its limit while cold, also after a restart of its agent', (t) => {
  const world = startWorld(21);
  const agent = world.agents.find(({ service }) => service === 'map')!;
  world.coldTime = 3_000;
  world.startTarget(agent);
  const from = world.clock.now;
  overload(world, 1_200);
  world.startAgent(agent);
  overload(world, 1_800);
  const most = countMostInASecond(agent, from, from + 3_000);
  t.true(most > 0 && most <= WORLD_LIMIT, `${most} new flows in a second`);
  overload(world, 1_500);
  t.true(countMostInASecond(agent, from + 3_000, from + 4_500) > WORLD_LIMIT);
});

test('a zone that returns cold is within its limits before a heartbeat reports it', (t) => {
  const world = startWorld(22);
  world.store.evacuate('north');
  world.runFor(1_000);
  const back = world.agents.filter(({ zone, service }) => zone === 'north' && service === 'map');
  back.forEach(({ target }) => (target.coldUntil = world.clock.now + 2_500));
  world.store.cancelEvacuation('north');
  const from = world.clock.now;
  overload(world, 2_000);
  for (const agent of back) {
    t.true(countMostInASecond(agent, from, from + 2_000) <= WORLD_LIMIT);
  }
});

test('after a power loss all targets are cold, and each is within its limit', (t) => {
  const world = startWorld(23);
  world.coldTime = 3_000;
  world.restartAll(500);
  const from = world.clock.now;
  overload(world, 2_500);
  for (const agent of world.agents.filter(({ service }) => service === 'map')) {
    const most = countMostInASecond(agent, from, from + 2_500);
    t.true(most > 0 && most <= WORLD_LIMIT, `${agent.name}: ${most}`);
  }
});
