/** Targets that have just started: what they get in any second, over all balancers. */
import test from 'ava';
import { ColdStartLimiter, type ColdStartLimitSettings } from '../src/packets/cold-start-limiter';
import { RefusalReason } from '../src/packets/packet-messages';
import { ServiceProfileView } from '../src/packets/service-profile-view';
import { TargetLifecycle, type TargetHeartbeat } from '../src/packets/target-lifecycle';
import { PacketWorld, type WorldAgent } from '../src/simulation/packets/packet-world';
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
/** In the model world: a rate of 3, once, and a slack of 2. */
const WORLD_RATE = 3;
const WORLD_LIMIT = 5;

function heartbeat(sequence: number, coldLeft: number): TargetHeartbeat {
  return { incarnation: 'i', service: 'map', slots: 1, draining: false, coldLeft, sequence };
}

interface LimitScene {
  readonly target: TargetLifecycle;
  readonly profiles: ServiceProfileView;
  readonly limit: ColdStartLimiter;
}

function createLimiter(
  startedAt = -10_000,
  settings: ColdStartLimitSettings | undefined = SETTINGS,
): LimitScene {
  const target = new TargetLifecycle('map', 770, 0);
  const profiles = new ServiceProfileView(target);
  return { target, profiles, limit: new ColdStartLimiter(target, profiles, settings, startedAt) };
}

/** Openings that pass when one is tried each ten milliseconds. */
function countPassing(limit: ColdStartLimiter, from: number, to: number): number {
  let passing = 0;
  for (let now = from; now < to; now += 10) {
    if (!limit.isReached(now)) {
      limit.recordOpening(now);
      passing++;
    }
  }
  return passing;
}

test('a cold target gets its rate with overshoot and slack in any second, a warm one more', (t) => {
  const { target, profiles, limit } = createLimiter();
  profiles.learn(RATES);
  target.applyHeartbeat(heartbeat(1, 3_000), 0);
  t.is(countPassing(limit, 0, 1_000), 8);
  t.is(countPassing(limit, 1_000, 2_000), 8);
  t.is(countPassing(limit, 3_010, 3_110), 10);
});

test('openings to a warm target count in the second in which it becomes cold', (t) => {
  const { target, profiles, limit } = createLimiter();
  profiles.learn(RATES);
  target.applyHeartbeat(heartbeat(1, 0), 0);
  t.is(countPassing(limit, 0, 60), 6);
  target.applyHeartbeat(heartbeat(2, 2_000), 60);
  t.is(countPassing(limit, 60, 900), 2);
});

test('an agent that knows neither age nor rate passes what holds for any rate', (t) => {
  const { target, profiles, limit } = createLimiter();
  t.is(countPassing(limit, 0, 1_000), 5);
  profiles.learn(RATES);
  t.is(countPassing(limit, 1_060, 1_900), 8);
  target.applyHeartbeat(heartbeat(9, 0), 1_900);
  t.is(countPassing(limit, 1_900, 2_000), 10);
  target.forgetAge();
  t.true(limit.isReached(2_000));
});

test('a new agent leaves a second for what its earlier run may have let pass', (t) => {
  const { target, profiles, limit } = createLimiter(0);
  profiles.learn(RATES);
  target.applyHeartbeat(heartbeat(5, 2_000), 10);
  t.is(countPassing(limit, 0, 1_050), 0);
  t.is(countPassing(limit, 1_050, 1_800), 8);
  const fresh = createLimiter(0);
  fresh.profiles.learn(RATES);
  fresh.target.applyHeartbeat(heartbeat(1, 2_000), 10);
  t.is(countPassing(fresh.limit, 10, 900), 8);
});

test('rates of an earlier table change nothing; a service without a rate has no limit', (t) => {
  const { profiles, limit } = createLimiter();
  profiles.learn({ version: 5, services: [] });
  profiles.learn(RATES);
  t.is(countPassing(limit, 0, 1_000), 100);
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

function startWorld(seed: number): PacketWorld {
  const world = new PacketWorld(seed);
  startModelDeployment(world);
  world.configure(2, MODEL_ROUTES, [
    { service: 'map', latencyGoal: 0, coldTime: 2_000, coldRate: WORLD_RATE },
  ]);
  world.runFor(1_000);
  return world;
}

/** Most openings that an agent's targets got in any second between two times. */
function countMostInASecond({ openings }: WorldAgent, from: number, to: number): number {
  const counted = openings.filter((at) => at >= from && at <= to);
  const spans = counted.map((at) => counted.filter((one) => one >= at && one < at + 1_000).length);
  return Math.max(0, ...spans);
}

/** Flows so fast that targets that are not cold are busy, and cold ones get some too. */
function overload(world: PacketWorld, milliseconds: number): void {
  for (let passed = 0; passed < milliseconds; passed += 50) {
    openModelFlows(world, 12, 1, 50);
    world.runFor(50);
  }
}

test('a new target is within its limit while cold, whoever sends, also past a restart', (t) => {
  const world = startWorld(21);
  const agent = world.agents.find(({ service }) => service === 'map')!;
  world.coldTime = 3_000;
  world.startTarget(agent);
  const from = world.clock.now;
  overload(world, 1_200);
  world.startAgent(agent);
  overload(world, 1_800);
  const most = countMostInASecond(agent, from, from + 3_000);
  t.true(most > 0 && most <= WORLD_LIMIT, `${most} openings in a second`);
  overload(world, 1_500);
  t.true(countMostInASecond(agent, from + 3_000, from + 4_500) > WORLD_LIMIT);
});

test('a zone that comes back cold is within its limits before a heartbeat says so', (t) => {
  const world = startWorld(22);
  world.store.evacuate('north');
  world.runFor(1_000);
  const back = world.agents.filter(({ zone, service }) => zone === 'north' && service === 'map');
  back.forEach(({ target }) => (target.coldUntil = world.clock.now + 2_500));
  world.store.restore('north');
  const from = world.clock.now;
  overload(world, 2_000);
  for (const agent of back) {
    t.true(countMostInASecond(agent, from, from + 2_000) <= WORLD_LIMIT);
  }
});

test('after a loss of all power everything is cold, and each target within its limit', (t) => {
  const world = startWorld(23);
  world.coldTime = 3_000;
  world.losePower(500);
  const from = world.clock.now;
  overload(world, 2_500);
  for (const agent of world.agents.filter(({ service }) => service === 'map')) {
    const most = countMostInASecond(agent, from, from + 2_500);
    t.true(most > 0 && most <= WORLD_LIMIT, `${agent.name}: ${most}`);
  }
});
