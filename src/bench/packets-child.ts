/**
 * Child process of the packet benchmark: a packet balancer or a bare relay. It reports its
 * addresses to the parent, and its processor time after certain numbers of packets.
 */
import { Ok } from 'ts-results';
import type { Endpoint } from '../environment';
import type { AgentRegistryPort, CollectionPort } from '../packets/collection-port';
import type { RoutingTable } from '../packets/routing-table';
import {
  BenchSetup,
  MEASURED_PACKET_COUNTS,
  type ChildReport,
  type PacketPath,
} from './packets-contract';
import { PacketBalancer } from '../packets/packet-balancer';
import { PacketFrameCodec } from '../packets/packet-frames';
import { RealEnvironment } from '../runtime/real-environment';
import { UdpSocket } from '../runtime/udp-socket';
import { modelPacketFormat } from '../simulation/packets/model-packet-format';

const ADDRESS = '127.0.0.1';
/** Lists the benchmark's one table and never changes; the registry below lists no agent. */
const ROUTING_TABLES: CollectionPort<RoutingTable> = {
  list: (answer) =>
    answer(
      new Ok({
        items: [{ name: 'table', revision: 1, item: BenchSetup.table }],
        skipped: 0,
        era: 1,
        revision: 1,
      }),
    ),
  awaitChanges: () => undefined,
};
const REGISTRY: AgentRegistryPort = {
  list: (answer) => answer(new Ok({ items: [], skipped: 0, era: 1, revision: 1 })),
  awaitChanges: () => undefined,
  register: () => undefined,
  replace: () => undefined,
  remove: () => undefined,
};

let packetCount = 0;
const cpuUsageAtStart = process.cpuUsage();

function sendReport(report: ChildReport): void {
  process.send!(report);
}

/** Counts a handled packet and reports the processor time at the measured counts. */
function countPacket(): void {
  packetCount++;
  if (MEASURED_PACKET_COUNTS.includes(packetCount)) {
    const { user, system } = process.cpuUsage(cpuUsageAtStart);
    sendReport({ kind: 'used', packets: packetCount, microseconds: user + system });
  }
}

async function bind(handler: (bytes: Buffer, from: Endpoint) => void): Promise<UdpSocket> {
  return (await UdpSocket.bind(ADDRESS, 0, handler)).unwrap();
}

async function startRelay(next: Endpoint): Promise<void> {
  const socket = await bind((bytes) => {
    socket.send(next, bytes);
    countPacket();
  });
  sendReport({ kind: 'bound', clients: socket.endpoint, frames: socket.endpoint });
}

async function startBalancer(): Promise<void> {
  const environment = new RealEnvironment({ report: () => undefined });
  const frames = await bind((bytes, from) => node.handleFrame(bytes, from));
  const clients = await bind((bytes) => {
    node.handleClientDatagram(bytes);
    countPacket();
  });
  const node = new PacketBalancer(
    {
      zone: BenchSetup.zone,
      address: frames.endpoint,
      packetAddress: clients.endpoint,
      capacity: 1,
      earlyStart: true,
      linkSpeed: 1_000,
      seeds: [],
      flowLifetime: BenchSetup.lifetime,
      applyTime: BenchSetup.applyTime,
      repairHops: true,
      locality: true,
      transferCost: 400,
    },
    {
      environment,
      codec: new PacketFrameCodec([BenchSetup.key]),
      transport: frames,
      format: modelPacketFormat,
      routingTables: ROUTING_TABLES,
      registry: REGISTRY,
      evacuatedZones: undefined,
      storeProbe: { check: () => undefined },
      snapshots: { fetch: () => undefined },
      sendToClient: (client, packet) => clients.send(client, packet),
      relay: () => undefined,
    },
  );
  node.start();
  sendReport({ kind: 'bound', clients: clients.endpoint, frames: frames.endpoint });
}

const [path, next] = process.argv.slice(2) as [PacketPath, string];
void (path === 'relay' ? startRelay(Number(next)) : startBalancer());
