/**
 * A version of the configuration gives one route to another service, and takes one of two services
 * from the weighted back ends of another route. Both routes stay. The flows that are open then stay
 * where they are: no reset of the system may reach their clients (rule FLOW).
 *
 * Without the disruption the version changes time-outs and weights only.
 */
import { setTimeout as wait } from 'node:timers/promises';
import { CannotRun, runCase } from '../standins/case.mjs';

const ORDER_ROUTE = { address: '198.18.0.1', port: 8080 };
const FEED_ROUTE = { address: '198.18.0.1', port: 8443 };
const ORDER_FLOWS = 4;
const FEED_FLOWS = 6;
const DEADLINE_MS = 4000;

const HALVES = [
  { service: 'orders-a', weight: 50 },
  { service: 'orders-b', weight: 50 },
];
const NINE_TO_ONE = [
  { service: 'orders-a', weight: 90 },
  { service: 'orders-b', weight: 10 },
];
const FIRST_ONLY = [{ service: 'orders-a', weight: 100 }];

const BEFORE = { version: 3, service: 'orders-a', backends: HALVES, timeoutMs: 4000 };
const AFTER = { version: 8, service: 'orders-b', backends: FIRST_ONLY, timeoutMs: 4000 };
const AFTER_HARMLESS = { ...BEFORE, version: 8, backends: NINE_TO_ONE, timeoutMs: 3500 };

function createConfig({ version, service, backends, timeoutMs }) {
  const terms = { 'timeout-ms': timeoutMs, 'slo-ms': 300, attempts: 2 };
  const profile = { 'health-path': '/health', 'max-conns': 2000, protocol: 'h1', tls: false };
  const orders = { name: 'r-orders', type: 'unsafe', priority: 1, service };
  const feed = { name: 'r-feed', type: 'safe', priority: 2, backends };
  return {
    version,
    routes: [
      { host: '198.18.0.1', 'path-prefix': '/8080/', ...orders, ...terms },
      { host: '198.18.0.1', 'path-prefix': '/8443/', ...feed, ...terms },
    ],
    services: [
      { name: 'orders-a', ...profile },
      { name: 'orders-b', ...profile },
    ],
    limits: {
      'max-header-bytes': 16_384,
      'max-body-bytes': 262_144,
      'header-timeout-ms': 3000,
      'idle-timeout-ms': 15_000,
    },
  };
}

/** Opens flows and has a request answered on each. */
async function openLongFlows(clients, route, name, count) {
  const flows = [];
  for (let number = 1; number <= count; number++) {
    const flow = await clients.open(route, `${name}-${number}`);
    const first = await flow.request(`${name}-${number}-1`, {
      path: '/status?work=20',
      deadlineMs: DEADLINE_MS,
    });
    if (first.outcome !== 'answered') {
      throw new CannotRun(`${flow.name} was not served before the change`);
    }
    flows.push(flow);
  }
  return flows;
}

async function startDeployment(deployment) {
  await deployment.start({ fronts: ['zone-1', 'zone-2'], config: createConfig(BEFORE) });
  const sides = ['orders-a', 'orders-a', 'orders-b', 'orders-b'].map((service, index) =>
    deployment.addSide({ number: index + 1, zone: `zone-${1 + (index % 2)}`, service }),
  );
  for (const { target } of sides) {
    await target.start();
  }
  await deployment.waitUntilServing();
}

async function play(deployment, record, hasTrouble) {
  await startDeployment(deployment);
  const clients = await deployment.addClients(1);
  const longFlows = [
    ...(await openLongFlows(clients, ORDER_ROUTE, 'status', ORDER_FLOWS)),
    ...(await openLongFlows(clients, FEED_ROUTE, 'feed', FEED_FLOWS)),
  ];
  const order = await clients.open(ORDER_ROUTE, 'order');
  const orderDone = order.request('order-1', {
    method: 'POST',
    path: '/orders?work=1200',
    bytes: 600,
    deadlineMs: DEADLINE_MS,
  });
  await wait(100);

  deployment.putConfig(createConfig(hasTrouble ? AFTER : AFTER_HARMLESS));
  await wait(1000);
  const results = await Promise.all(
    longFlows.map((flow) =>
      flow.request(`${flow.name}-2`, { path: '/status?work=20', deadlineMs: DEADLINE_MS }),
    ),
  );
  const orderResult = await orderDone;
  await wait(3500);
  const later = await clients.open(ORDER_ROUTE, 'later');
  await later.request('later-1', { path: '/status?work=20', deadlineMs: DEADLINE_MS });
  record.write(`answers on long flows: ${results.map(({ outcome }) => outcome).join(', ')}`);
  record.write(`the order that was under way: ${orderResult.outcome}`);
  return [...longFlows, order]
    .filter(({ systemResets }) => systemResets > 0)
    .map(
      ({ name, key }) => `FLOW: the system reset flow ${name} (${key}), open at a living target`,
    );
}

await runCase(import.meta.url, {}, play);
