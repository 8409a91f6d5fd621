/** Heartbeats of an earlier incarnation that come late, in every order with those of its successor. */
import test from 'ava';
import { TargetState } from '../src/packets/packet-messages';
import { TargetLifecycle, type TargetHeartbeat } from '../src/packets/target-lifecycle';

const INTERVAL = 770;
/** Heartbeats of a living target that may be left aside. */
const IGNORED_AT_MOST = 2;

function createHeartbeat(incarnation: string, service: string, sequence: number): TargetHeartbeat {
  return { incarnation, service, slots: 1, draining: false, coldLeft: 0, sequence };
}

/** What happens to an agent between two heartbeats of the living target. */
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

/** All orders of up to three disturbances, repeats included. */
function listOrders(): Disturbance[][] {
  const all: Disturbance[][] = [[]];
  let longest: Disturbance[][] = [[]];
  for (let length = 1; length <= 3; length++) {
    longest = longest.flatMap((order) => DISTURBANCES.map((one) => [...order, one]));
    all.push(...longest);
  }
  return all;
}

/** An agent beside one living target `new`, whose predecessor `old` is heard late. */
class Scene {
  ignoredInARow = 0;
  worstIgnored = 0;
  readonly wrongService: string[] = [];
  private agent: TargetLifecycle;
  private now = 10_000;
  private sequence = 0;

  /** @param oldService service of the predecessor */
  constructor(private readonly oldService: string) {
    this.agent = new TargetLifecycle(oldService, INTERVAL, 0);
    this.agent.applyHeartbeat(createHeartbeat('old', oldService, 56), this.now);
    this.now += 3_000;
  }

  sendHeartbeat(): void {
    this.now += INTERVAL / 2;
    this.agent.applyHeartbeat(createHeartbeat('new', 'tiles', ++this.sequence), this.now);
    const isIgnored = this.agent.incarnation !== 'new' || this.agent.state !== TargetState.ready;
    this.ignoredInARow = isIgnored ? this.ignoredInARow + 1 : 0;
    this.worstIgnored = Math.max(this.worstIgnored, this.ignoredInARow);
    this.checkService('heartbeat');
    this.now += INTERVAL / 2;
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
        this.agent.applyLeave({ incarnation: 'old' });
        break;
      case 'restart':
        // Settings are written anew at each start and name the present target's service.
        this.agent = new TargetLifecycle('tiles', INTERVAL, 0);
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
  test(`a living target is soon believed, whatever comes late of one of ${oldService}`, (t) => {
    for (const order of listOrders()) {
      for (const isSpaced of [true, false]) {
        const scene = new Scene(oldService);
        scene.sendHeartbeat();
        for (const disturbance of order) {
          scene.disturb(disturbance);
          if (isSpaced) {
            scene.sendHeartbeat();
          }
        }
        Array.from({ length: 4 }, () => scene.sendHeartbeat());
        const name = `${JSON.stringify(order)} spaced: ${isSpaced}`;
        t.true(scene.worstIgnored <= IGNORED_AT_MOST, `${name}: ${scene.worstIgnored} ignored`);
        t.is(scene.ignoredInARow, 0, name);
        t.deepEqual(scene.wrongService, [], name);
      }
    }
  });
}

test('an incarnation that was replaced for a moment by a late one comes back', (t) => {
  const agent = new TargetLifecycle('map', INTERVAL, 0);
  agent.applyHeartbeat(createHeartbeat('old', 'map', 57), 0);
  t.is(agent.applyHeartbeat(createHeartbeat('new', 'map', 3), 100), 'none');
  t.is(agent.applyHeartbeat(createHeartbeat('new', 'map', 4), 870), 'incarnation');
  t.is(agent.applyHeartbeat(createHeartbeat('old', 'map', 58), 900), 'none');
  t.is(agent.applyHeartbeat(createHeartbeat('new', 'map', 5), 1_640), 'none');
  t.is(agent.incarnation, 'new');
});

test('heartbeats held up together are no proof of life', (t) => {
  const agent = new TargetLifecycle('tiles', INTERVAL, 0);
  agent.applyHeartbeat(createHeartbeat('new', 'tiles', 1), 0);
  for (const sequence of [57, 58, 59]) {
    t.is(agent.applyHeartbeat(createHeartbeat('old', 'map', sequence), 300 + sequence), 'none');
  }
  t.true(agent.isServiceDisputed);
  t.is(agent.applyHeartbeat(createHeartbeat('new', 'tiles', 2), 770), 'none');
  t.false(agent.isServiceDisputed);
});
