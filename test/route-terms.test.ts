/** Route terms, from the operator's document to the agent that queues requests. */
import test from 'ava';
import { readRoutingTable } from '../platform/routing-document';
import { packEndpoint } from '../src/core/endpoint';
import { PacketFrameCodec } from '../src/packets/packet-frames';
import { PacketMessageType } from '../src/packets/packet-messages';
import { decodeSnapshotText, encodeSnapshotText } from '../src/packets/peer-snapshot';
import type { Route } from '../src/packets/routing-table';
import {
  checkTerms,
  findCompetingRoutes,
  MAXIMUM_DEADLINE_MS,
  type RouteTerms,
} from '../src/packets/terms/route-terms';
import { SentTermsTracker } from '../src/packets/terms/sent-terms-tracker';
import { RouteTermsCache } from '../src/packets/terms/route-terms-cache';

const URGENT: RouteTerms = { priority: 1, latencyGoal: 300, deadline: 2_500 };
const USUAL: RouteTerms = { priority: 2, latencyGoal: 250, deadline: 2_000 };
const AGENT = packEndpoint('10.0.0.1', 7_000);

function createRoute(port: number, service: string, terms?: RouteTerms): Route {
  const destination = packEndpoint('198.18.0.1', port);
  const route = { name: `r${port}`, destination, services: [{ service, weight: 1 }] };
  return terms ? { ...route, terms } : route;
}

function readTerms(fields: Record<string, unknown>): RouteTerms | undefined {
  const route = { host: '198.18.0.1', 'path-prefix': '/80/', service: 'a', ...fields };
  const spec = { version: 1, routes: [route] };
  return readRoutingTable({ name: 'main', revision: 1, spec })!.routes[0]!.terms;
}

test('route terms are read from a document; missing or contradictory ones are ignored', (t) => {
  t.deepEqual(readTerms({ priority: 1, 'slo-ms': 300, 'timeout-ms': 2_500 }), URGENT);
  t.deepEqual(readTerms({ priority: 0 }), { priority: 0, latencyGoal: 0, deadline: 0 });
  t.is(readTerms({ 'slo-ms': 300 }), undefined, 'no priority');
  t.is(readTerms({ priority: 10 }), undefined);
  t.is(readTerms({ priority: 1.5 }), undefined);
  t.is(readTerms({ priority: 1, 'timeout-ms': -1 }), undefined);
  t.is(readTerms({ priority: 1, 'timeout-ms': MAXIMUM_DEADLINE_MS + 1 }), undefined);
  t.is(readTerms({ priority: 1, 'slo-ms': 300, 'timeout-ms': 200 }), undefined);
  t.is(checkTerms({ ...URGENT, latencyGoal: 3_000 }), 'goalBeyondDeadline');
});

test('a table counts the routes without terms, which are served nevertheless', (t) => {
  const good = { host: '198.18.0.1', 'path-prefix': '/80/', service: 'a', priority: 1 };
  const routes = [good, { ...good, 'path-prefix': '/81/', priority: 'high' }];
  const table = readRoutingTable({ name: 'main', revision: 1, spec: { version: 1, routes } })!;
  t.is(table.routes.length, 2);
  t.is(table.routesWithoutTerms, 1);
});

test('only routes that share a service with a route of other terms compete', (t) => {
  const check = createRoute(80, 'live', URGENT);
  const stream = createRoute(81, 'live', USUAL);
  const download = createRoute(82, 'archive', USUAL);
  const other = createRoute(83, 'archive', USUAL);
  const competing = findCompetingRoutes([check, stream, download, other]);
  t.deepEqual([...competing.values()], [check, stream]);
  t.is(findCompetingRoutes([createRoute(80, 'live'), createRoute(81, 'live')]).size, 0);
});

test('terms are sent twice to each incarnation of an agent, and again when they change', (t) => {
  const ledger = new SentTermsTracker();
  const check = createRoute(80, 'live', URGENT);
  const stream = createRoute(81, 'live', USUAL);
  ledger.apply([check, stream]);
  const tell = (run: number, route: Route): boolean => ledger.markSentIfDue(AGENT, run, route);
  t.deepEqual([tell(1, check), tell(1, check), tell(1, check)], [true, true, false]);
  t.true(tell(1, stream));
  t.true(tell(2, check), 'the agent has restarted');
  tell(2, check);
  const changed = createRoute(80, 'live', { ...URGENT, deadline: 1_000 });
  ledger.apply([changed, stream]);
  t.true(tell(2, changed));
  ledger.apply([check, createRoute(81, 'live', URGENT)]);
  t.false(tell(2, check), 'no competing route');
  ledger.expire(() => false);
  ledger.apply([check, stream]);
  t.true(tell(2, check), 'terms are sent again to a dropped agent');
});

test('an agent uses the terms of the later table, whichever is announced last', (t) => {
  const view = new RouteTermsCache();
  const { destination } = createRoute(80, 'live');
  view.apply({ ...URGENT, destination, version: 7 });
  view.apply({ ...USUAL, destination, version: 6 });
  t.is(view.getTerms(destination)!.priority, 1);
  t.is(view.getTerms(destination + 1), undefined);
});

test('terms are encoded in their message and in snapshots; earlier snapshots have none', (t) => {
  const codec = new PacketFrameCodec([{ id: 1, secret: Buffer.from('a-test-key-of-the-cluster') }]);
  const { destination } = createRoute(80, 'live');
  const message = { type: PacketMessageType.routeTerms, destination, version: 7, ...URGENT };
  t.deepEqual(codec.decode(codec.encode(message)).unwrap(), message);
  const routes = [
    createRoute(80, 'live', URGENT),
    createRoute(81, 'live'),
    createRoute(82, 'live', USUAL),
  ];
  const snapshot = {
    routingTable: { version: 7, routes, idleTimeout: 9_000, profiles: [] },
    viewComplete: true,
    agents: [],
    registryRevision: 3,
    storeEra: 0,
  };
  const text = encodeSnapshotText(snapshot);
  t.deepEqual(decodeSnapshotText(text).unwrap().routingTable!.routes, routes);
  const earlier = JSON.stringify({ ...JSON.parse(text), terms: undefined });
  const { routingTable } = decodeSnapshotText(earlier).unwrap();
  t.deepEqual(
    routingTable!.routes.map(({ terms }) => terms),
    [undefined, undefined, undefined],
  );
  const broken = JSON.stringify({ ...JSON.parse(text), terms: [[[1, 500, 400]], [1]] });
  t.true(decodeSnapshotText(broken).err);
});
