/** Memory per flow, target, service and peer; processor time per packet, flow and table change. */
import { bucketOf, serviceSeed } from '../core/hashing';
import { DirectoryRouting } from '../balancer/flow-routing';
import { LearntBudget } from '../balancer/learnt-hosts';
import { MemberList } from '../balancer/member-list';
import { TargetStates } from '../balancer/target-states';
import { TableCache } from '../core/table-cache';
import type { ServiceTable } from '../core/table';
import { FrameCodec } from '../wire/frame-codec';
import { MemberState, MessageType, type Message } from '../wire/messages';
import { bytesInUse } from './collect-garbage';
import { fitLine, type Fit, type Point } from './fit';

const REPEATS = 20_000;
const ROWS_PER_SERVICE = 6;
const KEY = { id: 1, secret: Buffer.from('unit-cost-bench-secret') };

/** A slope with the points it was fitted to. */
export interface Slope {
  /** What x counts. */
  readonly per: string;
  readonly points: readonly Point[];
  readonly fit: Fit;
}

/** Slopes of one kind of state or work. */
export interface UnitCosts {
  /** Bytes. */
  readonly memory: Readonly<Record<string, Slope>>;
  /** Microseconds. */
  readonly processor: Readonly<Record<string, Slope>>;
}

/** Measures every unit cost at four sizes. */
export function measureUnitCosts(progress: (line: string) => void): UnitCosts {
  progress('memory slopes');
  const memory = {
    learntFlow: memorySlope(
      'flow learnt by a balancer',
      [50_000, 100_000, 200_000, 300_000],
      learn,
    ),
    target: memorySlope('target row in a balancer', [2_400, 4_800, 7_200, 9_600], (count) =>
      cacheTables(count / ROWS_PER_SERVICE),
    ),
    routedService: memorySlope(
      'service routed by a balancer',
      [200, 400, 800, 1_600],
      routeServices,
    ),
    peer: memorySlope('peer known to a balancer', [300, 600, 1_000, 1_300], knowPeers),
  };
  progress('processor slopes');
  const processor = {
    frame: timeSlope(
      'frame encoded and decoded, by payload bytes',
      [64, 256, 512, 1_024],
      frameCost,
    ),
    route: timeSlope(
      'datagram routed, by known flows',
      [1_000, 10_000, 100_000, 300_000],
      routeCost,
    ),
    tableChange: timeSlope('delta applied, by its rows', [6, 24, 96, 240], deltaCost),
    ownership: timeSlope('owners computed, by targets', [2, 4, 8, 16], ownershipCost),
  };
  return { memory, processor };
}

function memorySlope(
  per: string,
  sizes: readonly number[],
  hold: (count: number) => unknown,
): Slope {
  hold(sizes[0]!);
  const points = sizes.map((count) => {
    const before = bytesInUse();
    const held = hold(count);
    const y = bytesInUse() - before;
    keepAlive(held);
    return { x: count, y };
  });
  return { per, points, fit: fitLine(points) };
}

function timeSlope(per: string, sizes: readonly number[], cost: (size: number) => number): Slope {
  cost(sizes[0]!);
  const points = sizes.map((size) => ({ x: size, y: cost(size) }));
  return { per, points, fit: fitLine(points) };
}

let kept: unknown;

/** Keeps a value reachable until its memory has been read. */
function keepAlive(value: unknown): void {
  kept = value;
  kept = undefined;
  void kept;
}

/** Mean microseconds of an action. */
function timed(repeats: number, action: (index: number) => void): number {
  const startedAt = process.cpuUsage();
  for (let index = 0; index < repeats; index++) {
    action(index);
  }
  const { user, system } = process.cpuUsage(startedAt);
  return (user + system) / repeats;
}

function tableOf(index: number, rows: number, revision: number): ServiceTable {
  return {
    service: `service-${index}`,
    revision,
    writeId: `write-${index}`,
    rows: Array.from({ length: rows }, (_, number) => ({
      target: `target-${number}`,
      address: 2 ** 40 + index * 1_000 + number,
      share: 1,
      slots: 5,
      connections: 2_000,
    })),
  };
}

function routingFor(service: string, learntFlows: number): DirectoryRouting {
  const routing = new DirectoryRouting(service, new TargetStates(), new LearntBudget(learntFlows));
  routing.invalidate(tableOf(0, ROWS_PER_SERVICE, 1));
  return routing;
}

function learn(flows: number): unknown {
  const routing = routingFor('live-map', 2 * flows);
  for (let caller = 0; caller < flows; caller++) {
    routing.learn(
      2 ** 40 + caller,
      `target-${caller % ROWS_PER_SERVICE}`,
      caller % ROWS_PER_SERVICE,
    );
  }
  return routing;
}

function cacheTables(services: number): unknown {
  const cache = new TableCache();
  const codec = new FrameCodec([KEY]);
  for (let index = 0; index < services; index++) {
    const tables = [tableOf(index, ROWS_PER_SERVICE, index + 1)];
    const frame = codec.encode(deltaMessage(index, tables));
    const received = codec.decode(frame).unwrap();
    cache.apply(received as Extract<Message, { type: typeof MessageType.tableDelta }>);
  }
  return cache;
}

function routeServices(services: number): unknown {
  return Array.from({ length: services }, (_, index) => {
    const routing = routingFor(`service-${index}`, 1_000);
    routing.route(index);
    return routing;
  });
}

function knowPeers(peers: number): unknown {
  const list = new MemberList();
  for (let index = 0; index < peers; index++) {
    const record = {
      name: `balancer-${index}`,
      endpoint: 2 ** 40 + index,
      zone: `zone-${index % 8}`,
      incarnation: index,
      state: MemberState.alive,
    };
    list.apply(record, 0);
  }
  return list;
}

function deltaMessage(fromRevision: number, tables: readonly ServiceTable[]): Message {
  return {
    type: MessageType.tableDelta,
    fromRevision,
    throughRevision: fromRevision + 1,
    tables,
    pushed: 1,
    confirmId: 0,
  };
}

function frameCost(payloadBytes: number): number {
  const codec = new FrameCodec([KEY]);
  const message: Message = {
    type: MessageType.forward,
    service: 'live-map',
    target: 'target-1',
    caller: 2 ** 40,
    balancer: 2 ** 41,
    tableRevision: 4,
    hops: 0,
    placedBy: '',
    payload: Buffer.alloc(payloadBytes),
  };
  return timed(REPEATS, () => void codec.decode(codec.encode(message)));
}

function routeCost(knownFlows: number): number {
  const routing = learn(knownFlows) as DirectoryRouting;
  return timed(REPEATS, (index) => void routing.route(2 ** 40 + ((index * 7_919) % knownFlows)));
}

function deltaCost(rows: number): number {
  const cache = new TableCache();
  const codec = new FrameCodec([KEY]);
  const services = Math.ceil(rows / ROWS_PER_SERVICE);
  return timed(REPEATS / 40, (index) => {
    const tables = Array.from({ length: services }, (_, service) =>
      tableOf(service, ROWS_PER_SERVICE, index + 1),
    );
    const received = codec.decode(codec.encode(deltaMessage(index, tables))).unwrap();
    cache.apply(received as Extract<Message, { type: typeof MessageType.tableDelta }>);
  });
}

function ownershipCost(targets: number): number {
  const seed = serviceSeed('live-map');
  return timed(REPEATS / 200, (index) => {
    const budget = new LearntBudget(1_000);
    const routing = new DirectoryRouting(`service-${targets}-${index}`, new TargetStates(), budget);
    routing.invalidate(tableOf(0, targets, 1));
    routing.route(bucketOf(index, seed));
  });
}
