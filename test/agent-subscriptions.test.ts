/** The deployment state in subscriptions, and when it is sent. */
import test from 'ava';
import { AgentDirectory } from '../src/packets/agent-directory';
import { AgentSubscriptions } from '../src/packets/agent-subscriptions';
import type { DeploymentState } from '../src/packets/deployment-state';
import type { SubscribeMessage } from '../src/packets/packet-messages';
import { createReport } from './support/reports';
import { UNKNOWN_EVACUATIONS } from '../src/packets/zone-evacuations';

const AGENT = 0x0a00_0002_0000;
const INTERVAL_MS = 2_000;
const NO_ERAS = { storeEra: 0, asksEra: 0 };

/** Creates the deployment state of a configuration version. */
function createDeploymentState(version: number): DeploymentState {
  const profile = { service: 'map', latencyGoal: 250, coldTime: 0, coldRate: 0 };
  return {
    evacuations: { era: 1, revision: 7, zones: ['south'] },
    profiles: { version, services: [profile] },
  };
}

/** One balancer's subscriptions at one agent, and the messages sent. */
class SubscriptionsHarness {
  readonly directory = new AgentDirectory();
  readonly sent: SubscribeMessage[] = [];
  deploymentState = createDeploymentState(1);
  now = 0;
  private sequence = 0;
  private readonly subscriptions = new AgentSubscriptions(
    'north',
    this.directory,
    (_agents, message) => this.sent.push(message),
    {
      getDeploymentState: () => this.deploymentState,
      getEras: () => NO_ERAS,
      shouldAskDestinations: () => false,
    },
  );

  /** Records a report of the agent from one of its processes. */
  recordReport(run: number): void {
    this.directory.recordReport(AGENT, createReport({ run, sequence: ++this.sequence }), this.now);
  }

  /** Advances the time and records a report of the agent at its end. */
  runFor(milliseconds: number, run: number): void {
    this.now += milliseconds;
    this.recordReport(run);
    this.subscriptions.sendDue(this.now, true);
  }

  /** Whether each subscription so far included the deployment state. */
  get includesState(): boolean[] {
    return this.sent.map(({ profiles }) => profiles.version > 0);
  }
}

test('an agent gets the deployment state three times, and none afterwards', (t) => {
  const subscriptions = new SubscriptionsHarness();
  for (let round = 0; round < 5; round++) {
    subscriptions.runFor(INTERVAL_MS, 1);
  }
  t.deepEqual(subscriptions.includesState, [true, true, true, false, false]);
  t.deepEqual(subscriptions.sent[4]!.evacuations, UNKNOWN_EVACUATIONS);
});

test('a later version is sent three times again, in case subscriptions are lost', (t) => {
  const subscriptions = new SubscriptionsHarness();
  for (let round = 0; round < 4; round++) {
    subscriptions.runFor(INTERVAL_MS, 1);
  }
  subscriptions.deploymentState = createDeploymentState(2);
  for (let round = 0; round < 4; round++) {
    subscriptions.runFor(INTERVAL_MS, 1);
  }
  t.deepEqual(subscriptions.includesState.slice(4), [true, true, true, false]);
});

test('a restarted agent gets the deployment state at once, not at the next interval', (t) => {
  const subscriptions = new SubscriptionsHarness();
  for (let round = 0; round < 4; round++) {
    subscriptions.runFor(INTERVAL_MS, 1);
  }
  subscriptions.runFor(100, 1);
  t.is(subscriptions.sent.length, 4);
  subscriptions.runFor(100, 2);
  t.deepEqual(subscriptions.includesState, [true, true, true, false, true]);
});

test('an agent that has not reported yet gets the deployment state each time', (t) => {
  const subscriptions = new SubscriptionsHarness();
  subscriptions.directory.upsert({ address: AGENT, service: 'map', zone: 'north' }, 1, 0);
  const unreported = new AgentSubscriptions(
    'north',
    subscriptions.directory,
    (_agents, message) => subscriptions.sent.push(message),
    {
      getDeploymentState: () => subscriptions.deploymentState,
      getEras: () => NO_ERAS,
      shouldAskDestinations: () => false,
    },
  );
  [0, 100, 200, 300].forEach((now) => unreported.sendDue(now, true));
  t.deepEqual(subscriptions.includesState, [true, true, true, true]);
});
