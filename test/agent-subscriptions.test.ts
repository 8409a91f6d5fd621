/** What subscriptions tell agents of the deployment, and when. */
import test from 'ava';
import { AgentDirectory } from '../src/packets/agent-directory';
import { AgentSubscriptions } from '../src/packets/agent-subscriptions';
import type { DeploymentState } from '../src/packets/deployment-state';
import type { SubscribeMessage } from '../src/packets/packet-messages';
import { createReport } from './support/reports';
import { UNKNOWN_EVACUATIONS } from '../src/packets/zone-evacuations';

const AGENT = 0x0a00_0002_0000;
const INTERVAL = 2_000;
const NO_ERAS = { storeEra: 0, asksEra: 0 };

/** News of one version of the configuration. */
function createNews(version: number): DeploymentState {
  const profile = { service: 'map', latencyGoal: 250, coldTime: 0, coldRate: 0 };
  return {
    evacuations: { era: 1, revision: 7, zones: ['south'] },
    profiles: { version, services: [profile] },
  };
}

/** One balancer's subscriptions at one agent, with what they said. */
class Subscriptions {
  readonly directory = new AgentDirectory();
  readonly sent: SubscribeMessage[] = [];
  news = createNews(1);
  now = 0;
  private sequence = 0;
  private readonly subscriptions = new AgentSubscriptions(
    'north',
    this.directory,
    (_agents, message) => this.sent.push(message),
    () => this.news,
    () => NO_ERAS,
  );

  /** The agent reports in one of its runs. */
  hear(run: number): void {
    this.directory.recordReport(AGENT, createReport({ run, sequence: ++this.sequence }), this.now);
  }

  /** Lets time pass, in which the agent goes on reporting. */
  pass(milliseconds: number, run: number): void {
    this.now += milliseconds;
    this.hear(run);
    this.subscriptions.sendDue(this.now, true);
  }

  /** Whether each subscription so far told the news. */
  get told(): boolean[] {
    return this.sent.map(({ profiles }) => profiles.version > 0);
  }
}

test('an agent is told the news three times, and nothing of them afterwards', (t) => {
  const subscriptions = new Subscriptions();
  for (let round = 0; round < 5; round++) {
    subscriptions.pass(INTERVAL, 1);
  }
  t.deepEqual(subscriptions.told, [true, true, true, false, false]);
  t.deepEqual(subscriptions.sent[4]!.evacuations, UNKNOWN_EVACUATIONS);
});

test('a later version is told anew, also when a subscription with it is lost', (t) => {
  const subscriptions = new Subscriptions();
  for (let round = 0; round < 4; round++) {
    subscriptions.pass(INTERVAL, 1);
  }
  subscriptions.news = createNews(2);
  for (let round = 0; round < 4; round++) {
    subscriptions.pass(INTERVAL, 1);
  }
  t.deepEqual(subscriptions.told.slice(4), [true, true, true, false]);
});

test('an agent that has restarted is told at once, not at the next interval', (t) => {
  const subscriptions = new Subscriptions();
  for (let round = 0; round < 4; round++) {
    subscriptions.pass(INTERVAL, 1);
  }
  subscriptions.pass(100, 1);
  t.is(subscriptions.sent.length, 4);
  subscriptions.pass(100, 2);
  t.deepEqual(subscriptions.told, [true, true, true, false, true]);
});

test('an agent that is not heard yet is told each time', (t) => {
  const subscriptions = new Subscriptions();
  subscriptions.directory.upsert({ address: AGENT, service: 'map', zone: 'north' }, 1, 0);
  const silent = new AgentSubscriptions(
    'north',
    subscriptions.directory,
    (_agents, message) => subscriptions.sent.push(message),
    () => subscriptions.news,
    () => NO_ERAS,
  );
  [0, 100, 200, 300].forEach((now) => silent.sendDue(now, true));
  t.deepEqual(subscriptions.told, [true, true, true, true]);
});
