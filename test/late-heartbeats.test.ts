/** Late heartbeats of an earlier incarnation, in every order with those of its successor. */
import test from 'ava';
import { TargetState } from '../src/packets/packet-messages';
import { TargetLifecycle, type TargetHeartbeat } from '../src/packets/target-lifecycle';

const INTERVAL_MS = 770;
/** Consecutive heartbeats of the running target that may be ignored. */
const MAXIMUM_IGNORED = 2;

function createHeartbeat(incarnation: string, service: string, sequence: number): TargetHeartbeat {
  return { incarnation, service, slots: 1, draining: false, coldLeft: 0, sequence };
}

/** What happens to an agent between two heartbeats of the running target. */
type Disturbance =
  | { readonly kind: 'late'; readonly sequence: number }
  | { readonly kind: 'leave' }
  | { readonly kind: 'restart' };

const DISTURBANCES: readonly Disturbance[] = [
  { kind: 'late', sequence: 57 },
  { kind: 'late', sequence: 58 },
  { kind: 'late', sequence: 2 },
  { kind: 'leave' },
  { kind: 'restart' },
];

/** All sequences of up to three disturbances, with repetitions. */
function listOrders(): Disturbance[][] {
  const all: Disturbance[][] = [[]];
  let longest: Disturbance[][] = [[]];
  for (let length = 1; length <= 3; length++) {
    longest = longest.flatMap((order) => DISTURBANCES.map((one) => [...order, one]));
    all.push(...longest);
  }
  return all;
}

/** An agent with a running target `new` and late heartbeats of its predecessor `old`. */
class LifecycleHarness {
  ignoredInARow = 0;
  worstIgnored = 0;
  readonly wrongService: string[] = [];
  private agent: TargetLifecycle;
  private now = 10_000;
  private sequence = 0;

  /** @param oldService service of the predecessor */
  constructor(private readonly oldService: string) {
    this.agent = new TargetLifecycle(oldService, INTERVAL_MS, 0);
    this.agent.applyHeartbeat(createHeartbeat('old', oldService, 56), this.now);
    this.now += 3_000;
  }

  sendHeartbeat(): void {
    this.now += INTERVAL_MS / 2;
    this.agent.applyHeartbeat(createHeartbeat('new', 'tiles', ++this.sequence), this.now);
    const isIgnored = this.agent.incarnation !== 'new' || this.agent.state !== TargetState.ready;
    this.ignoredInARow = isIgnored ? this.ignoredInARow + 1 : 0;
    this.worstIgnored = Math.max(this.worstIgnored, this.ignoredInARow);
    this.checkService('heartbeat');
    this.now += INTERVAL_MS / 2;
  }

  disturb(disturbance: Disturbance): void {
    switch (disturbance.kind) {
      case 'late':
        this.agent.applyHeartbeat(
          createHeartbeat('old', this.oldService, disturbance.sequence),
          this.now,
        );
        break;
      case 'leave':
        this.agent.applyDeregistration({ incarnation: 'old' });
        break;
      case 'restart':
        // Settings are rewritten at each start and name the service of the running target.
        this.agent = new TargetLifecycle('tiles', INTERVAL_MS, 0);
    }
    this.now += 5;
    this.checkService(disturbance.kind);
  }

  private checkService(after: string): void {
    const takesFlows = this.agent.state === TargetState.ready && !this.agent.isServiceDisputed;
    if (takesFlows && this.agent.service !== 'tiles') {
      this.wrongService.push(after);
    }
  }
}

for (const oldService of ['map', 'tiles']) {
  test(`a running target is accepted soon, whatever arrives late from one of ${oldService}`, (t) => {
    for (const order of listOrders()) {
      for (const isInterleaved of [true, false]) {
        const harness = new LifecycleHarness(oldService);
        harness.sendHeartbeat();
        for (const disturbance of order) {
          harness.disturb(disturbance);
          if (isInterleaved) {
            harness.sendHeartbeat();
          }
        }
        Array.from({ length: 4 }, () => harness.sendHeartbeat());
        const name = `${JSON.stringify(order)} interleaved: ${isInterleaved}`;
        t.true(harness.worstIgnored <= MAXIMUM_IGNORED, `${name}: ${harness.worstIgnored} ignored`);
        t.is(harness.ignoredInARow, 0, name);
        t.deepEqual(harness.wrongService, [], name);
      }
    }
  });
}

test('an incarnation that was replaced briefly by a late one is accepted again', (t) => {
  const agent = new TargetLifecycle('map', INTERVAL_MS, 0);
  agent.applyHeartbeat(createHeartbeat('old', 'map', 57), 0);
  t.is(agent.applyHeartbeat(createHeartbeat('new', 'map', 3), 100), 'none');
  t.is(agent.applyHeartbeat(createHeartbeat('new', 'map', 4), 870), 'incarnation');
  t.is(agent.applyHeartbeat(createHeartbeat('old', 'map', 58), 900), 'none');
  t.is(agent.applyHeartbeat(createHeartbeat('new', 'map', 5), 1_640), 'none');
  t.is(agent.incarnation, 'new');
});

test('heartbeats that were delayed together do not confirm a candidate', (t) => {
  const agent = new TargetLifecycle('tiles', INTERVAL_MS, 0);
  agent.applyHeartbeat(createHeartbeat('new', 'tiles', 1), 0);
  for (const sequence of [57, 58, 59]) {
    t.is(agent.applyHeartbeat(createHeartbeat('old', 'map', sequence), 300 + sequence), 'none');
  }
  t.true(agent.isServiceDisputed);
  t.is(agent.applyHeartbeat(createHeartbeat('new', 'tiles', 2), 770), 'none');
  t.false(agent.isServiceDisputed);
});
