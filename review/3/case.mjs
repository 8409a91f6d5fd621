/**
 * A target leaves by DELETE, without having said `draining`, and serves on for some seconds, as the
 * news page says of some. Meanwhile the node beside it is stopped and started (roll_term: SIGTERM,
 * then the platform starts it again). The target's open flows stay until it ends: no reset of the
 * system may reach their clients (rule FLOW).
 *
 * Opening packets that reach the target later than `drain-ms` after the acknowledgement (rule DRAIN)
 * are counted in the record, but not judged here.
 *
 * Without the disruption the node is not stopped.
 */
import { setTimeout as wait } from 'node:timers/promises';
import { BOUNDS } from '../standins/deployment.mjs';
import { CannotRun, runCase } from '../standins/case.mjs';

const ROUTE = { address: '198.18.0.1', port: 8080 };
const DEADLINE_MS = 4000;
const LONG_FLOWS = 18;
const MINIMUM_FLOWS = 3;
const REQUEST_GAP_MS = 60;
/** `drain-ms` and a little longer. */
const SERVES_ON_MS = 12_000;
const NEW_FLOW_GAP_MS = 50;

const CONFIG = {
  version: 3,
  routes: [
    {
      name: 'r-orders',
      host: '198.18.0.1',
      'path-prefix': '/8080/',
      type: 'unsafe',
      'timeout-ms': 4000,
      'slo-ms': 300,
      priority: 1,
      attempts: 2,
      service: 'orders',
    },
  ],
  services: [
    { name: 'orders', 'health-path': '/health', 'max-conns': 2000, protocol: 'h1', tls: false },
  ],
  limits: {
    'max-header-bytes': 16_384,
    'max-body-bytes': 262_144,
    'header-timeout-ms': 3000,
    'idle-timeout-ms': 15_000,
  },
};

async function startDeployment(deployment) {
  await deployment.start({ fronts: ['zone-1', 'zone-2'], config: CONFIG });
  const sides = [1, 2, 3].map((number) =>
    deployment.addSide({ number, zone: `zone-${1 + (number % 2)}`, service: 'orders' }),
  );
  for (const { target } of sides) {
    await target.start();
  }
  await deployment.waitUntilServing();
  return sides;
}

/** Opens flows, has a request answered on each, and finds the side that holds most of them. */
async function openLongFlows(clients, sides, record) {
  const flows = [];
  for (let number = 1; number <= LONG_FLOWS; number++) {
    const flow = await clients.open(ROUTE, `long-${number}`);
    const first = await flow.request(`long-${number}-1`, {
      path: '/status?work=20',
      deadlineMs: DEADLINE_MS,
    });
    if (first.outcome !== 'answered') {
      throw new CannotRun(`${flow.name} was not served before`);
    }
    flows.push({ flow, id: first.stamp.split('/')[0] });
  }
  const getFlows = ({ target }) => flows.filter(({ id }) => id === target.id);
  const [leaving] = [...sides].sort((one, other) => getFlows(other).length - getFlows(one).length);
  const own = getFlows(leaving).map(({ flow }) => flow);
  if (own.length < MINIMUM_FLOWS) {
    throw new CannotRun('no target holds enough flows');
  }
  record.write(`${own.length} long flows are open at ${leaving.target.id}, which leaves`);
  return { leaving, own };
}

/** Opens new flows, each with one request, until a time of the record. */
async function openNewFlowsUntil(clients, record, time) {
  let number = 0;
  while (record.now() < time) {
    number++;
    const name = `new-${number}`;
    const flow = await clients.open(ROUTE, name);
    void flow
      .request(name, { method: 'POST', path: '/orders?work=100', bytes: 600, deadlineMs: 3000 })
      .then(() => flow.close());
    await wait(NEW_FLOW_GAP_MS);
  }
}

async function play(deployment, record, hasTrouble) {
  const sides = await startDeployment(deployment);
  const clients = await deployment.addClients(1);
  const { leaving, own } = await openLongFlows(clients, sides, record);
  const { agent, target } = leaving;
  if ((await target.leave()) !== 200) {
    throw new CannotRun('the leaving target was not acknowledged');
  }
  const acknowledgedAt = record.now();
  await wait(300);
  const restarted = hasTrouble ? agent.restart('SIGTERM') : undefined;
  const answers = [];
  for (const flow of own) {
    await wait(REQUEST_GAP_MS);
    answers.push(
      flow.request(`${flow.name}-2`, { path: '/status?work=20', deadlineMs: DEADLINE_MS }),
    );
  }
  await restarted;
  const backAt = record.now();
  const outcomes = (await Promise.all(answers)).map(({ outcome }) => outcome);
  record.write(`answers on the flows of ${target.id}: ${outcomes.join(', ')}`);
  await openNewFlowsUntil(clients, record, acknowledgedAt + SERVES_ON_MS);
  target.end();
  const isLate = ({ at }) =>
    at > acknowledgedAt + BOUNDS['drain-ms'] && at > backAt + BOUNDS['contact-ms'];
  const late = target.openings.filter(isLate);
  record.write(
    `also seen (DRAIN): ${late.length} opening packets reached ${target.id} later than drain-ms ` +
      'after its leaving was acknowledged and contact-ms after its node was back',
  );
  return own
    .filter(({ systemResets }) => systemResets > 0)
    .map(({ name, key }) => `FLOW: the system reset flow ${name} (${key}), open at ${target.id}`);
}

await runCase(import.meta.url, {}, play);
