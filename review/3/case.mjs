/**
 * The store turns the balancers away for some seconds while it serves the others and the operator,
 * who writes versions of a large configuration in quick succession. `contact-ms` after the store
 * serves them again, every balancer acts by the newest version (rule CONFIG). Only requests are
 * judged that are sent later than `apply-ms` and `skew-max-ms` together after the acknowledgement.
 *
 * Without the disruption the store turns nobody away.
 */
import { Buffer } from 'node:buffer';
import { setTimeout as wait } from 'node:timers/promises';
import { BOUNDS } from '../standins/deployment.mjs';
import { runCase } from '../standins/case.mjs';

const OLD_ROUTE = { address: '198.18.0.1', port: 8080 };
const NEW_ROUTE = { address: '198.18.0.1', port: 8443 };
const DEADLINE_MS = 3000;
const IDLE_ROUTES = 1400;
const STORM_VERSIONS = 25;
const STORM_GAP_MS = 80;
/** The store forgets its history 20 s after the first version of the storm. */
const JUDGED_UNTIL_MS = 19_500;
const REQUEST_GAP_MS = 250;

function createConfig(version, { port, idleRoutes, timeoutMs = 4000 }) {
  const terms = { 'timeout-ms': timeoutMs, 'slo-ms': 300, priority: 1, attempts: 2 };
  const idle = Array.from({ length: idleRoutes }, (_, index) => ({
    name: `r-idle-${index}`,
    host: `198.19.${index >> 8}.${index & 255}`,
    'path-prefix': '/9000/',
    type: 'safe',
    service: 'orders',
    ...terms,
  }));
  const profile = { 'health-path': '/health', 'max-conns': 2000, protocol: 'h1', tls: false };
  return {
    version,
    routes: [
      {
        name: `r-orders-${port}`,
        host: '198.18.0.1',
        'path-prefix': `/${port}/`,
        type: 'unsafe',
        service: 'orders',
        ...terms,
      },
      ...idle,
    ],
    services: [{ name: 'orders', ...profile }],
    limits: {
      'max-header-bytes': 16_384,
      'max-body-bytes': 262_144,
      'header-timeout-ms': 3000,
      'idle-timeout-ms': 15_000,
    },
  };
}

async function startDeployment(deployment) {
  await deployment.start({
    fronts: ['zone-1', 'zone-2', 'zone-3'],
    config: createConfig(3, { port: OLD_ROUTE.port, idleRoutes: 8 }),
  });
  for (const number of [1, 2, 3]) {
    const { target } = deployment.addSide({ number, zone: `zone-${number}`, service: 'orders' });
    await target.start();
  }
  await deployment.waitUntilServing();
}

/** Sends requests on the route that was added and the one that was dropped; returns the breaches. */
async function judgeRequests(clients, record, changedAt) {
  const bound = BOUNDS['apply-ms'] + BOUNDS['skew-max-ms'];
  const breaches = [];
  const send = async (route, name) => {
    const age = Math.round(record.now() - changedAt);
    const flow = await clients.open(route, name);
    let outcome = flow.state;
    if (flow.state === 'open') {
      const request = { method: 'POST', path: '/orders?work=20', bytes: 600 };
      ({ outcome } = await flow.request(name, { ...request, deadlineMs: DEADLINE_MS }));
      flow.close();
    }
    const change = route === NEW_ROUTE ? 'added' : 'dropped';
    const isAsNewest = (outcome === 'answered') === (route === NEW_ROUTE);
    if (!isAsNewest && age > bound) {
      breaches.push(`CONFIG: ${name}, sent ${age} ms after its route was ${change}: ${outcome}`);
    }
  };
  const sent = [];
  for (let number = 1; record.now() < changedAt + JUDGED_UNTIL_MS; number++) {
    sent.push(send(NEW_ROUTE, `new-${number}`), send(OLD_ROUTE, `old-${number}`));
    await wait(REQUEST_GAP_MS);
  }
  await Promise.all(sent);
  return breaches;
}

async function play(deployment, record, hasTrouble) {
  await startDeployment(deployment);
  let version = 5;
  const big = createConfig(version, { port: OLD_ROUTE.port, idleRoutes: IDLE_ROUTES });
  deployment.putConfig(big);
  record.write(`the configuration has ${Buffer.byteLength(JSON.stringify(big))} bytes now`);
  await wait(3000);

  if (hasTrouble) {
    record.write('store: turns the balancers away (503)');
    deployment.frontDoor.setShut(true);
  }
  await wait(300);
  const addedAt = record.now();
  for (let index = 0; index < STORM_VERSIONS; index++) {
    version += 2;
    const timeoutMs = 4000 - index;
    deployment.putConfig(
      createConfig(version, { port: NEW_ROUTE.port, idleRoutes: IDLE_ROUTES, timeoutMs }),
    );
    await wait(STORM_GAP_MS);
  }
  deployment.frontDoor.setShut(false);
  record.write('store: serves the balancers');
  await wait(BOUNDS['contact-ms'] + 500);

  const clients = await deployment.addClients(1);
  return judgeRequests(clients, record, addedAt);
}

await runCase(import.meta.url, {}, play);
