/**
 * Measures a balancer's processor time per packet, for the first packets after its start, before
 * the code is compiled, and warm, and compares it with a bare relay. Each path runs in a process
 * of its own, so that none benefits from code compiled for another.
 */
import { fork, type ChildProcess } from 'node:child_process';
import { join } from 'node:path';
import type { Endpoint } from '../environment';
import { PacketFrameCodec } from '../packets/packet-frames';
import {
  COMPACT_FRAME_VERSION,
  FIRST_FRAME_VERSION,
  PacketMessageType,
  HOP_REPAIR_VERSION,
  TargetState,
  type NumberedDeliverMessage,
  type ReportMessage,
} from '../packets/packet-messages';
import { UdpSocket } from '../runtime/udp-socket';
import { encodeModelPacket, ModelFlag } from '../simulation/packets/model-packet-format';
import {
  BenchSetup,
  MEASURED_PACKET_COUNTS,
  type ChildReport,
  type PacketPath,
} from './packets-contract';

const ADDRESS = '127.0.0.1';
const AGENT_COUNT = 7;
const PACKETS_PER_FLOW = 5;
/** Batches are far below what a socket buffer holds. */
const BATCH_PACKETS = 20;
const BATCH_INTERVAL_MS = 10;
const REPORT_INTERVAL_MS = 250;
const PAYLOAD = 'x'.repeat(200);
const FIRST_CLIENT = 0x6440_0000_0000;

/** Frame version that the agents of each path understand. */
const AGENT_VERSIONS: Readonly<Record<PacketPath, number>> = {
  relay: FIRST_FRAME_VERSION,
  compact: COMPACT_FRAME_VERSION,
  repaired: HOP_REPAIR_VERSION,
  document: FIRST_FRAME_VERSION,
};

/** Microseconds of processor time per packet. */
export interface PacketResult {
  readonly path: PacketPath;
  readonly firstTwoHundred: number;
  readonly firstTwoThousand: number;
  /** Over the last 2,000 of 20,000. */
  readonly warm: number;
}

/** Simulates the agents of the benchmark's service: they report and hold every flow. */
class SimulatedAgents {
  private readonly codec = new PacketFrameCodec([BenchSetup.key]);
  private readonly sockets: UdpSocket[] = [];
  private timer: NodeJS.Timeout | undefined;
  private sequence = 0;

  constructor(private readonly frameVersion: number) {}

  async start(balancer: Endpoint): Promise<void> {
    for (let index = 0; index < AGENT_COUNT; index++) {
      const bound = await UdpSocket.bind(ADDRESS, 0, (frame) =>
        this.handleFrame(index, frame, balancer),
      );
      this.sockets.push(bound.unwrap());
    }
    this.report(balancer);
    this.timer = setInterval(() => this.report(balancer), REPORT_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
    this.sockets.forEach((socket) => socket.close());
  }

  /** Announces a held flow at each packet without a search; acknowledges numbered packets. */
  private handleFrame(index: number, frame: Buffer, balancer: Endpoint): void {
    const message = this.codec.decode(frame).unwrap();
    if (message.type === PacketMessageType.numberedDeliver) {
      this.acknowledge(index, message, balancer);
    }
    const isDelivery =
      message.type === PacketMessageType.deliver ||
      message.type === PacketMessageType.numberedDeliver;
    if (isDelivery && message.searchId === 0) {
      const flow = message.payload.subarray(1, 13);
      const held = { type: PacketMessageType.held, flow } as const;
      const isCompact = this.frameVersion >= COMPACT_FRAME_VERSION;
      const answer = isCompact ? this.codec.encodeCompact(held) : this.codec.encode(held);
      this.sockets[index]!.send(balancer, answer);
    }
  }

  /** Sends one acknowledgement per packet, the most that an agent sends. */
  private acknowledge(index: number, number: NumberedDeliverMessage, balancer: Endpoint): void {
    const { session, sequence } = number;
    const message = { type: PacketMessageType.received, session, sequences: [sequence] } as const;
    this.sockets[index]!.send(balancer, this.codec.encodeCompact(message));
  }

  private report(balancer: Endpoint): void {
    const report: ReportMessage = {
      type: PacketMessageType.report,
      run: 1,
      sequence: ++this.sequence,
      service: BenchSetup.service,
      zone: BenchSetup.zone,
      state: TargetState.ready,
      slots: 4,
      busyRequests: 0,
      openFlows: 0,
      answerTime: 50,
      answers: 0,
      targetChanges: 0,
      coldLeft: 0,
      failurePercent: 0,
      flowBytes: 0,
      frameVersion: this.frameVersion,
      flowKnowledge: 0,
      balancerCount: 1,
      balancers: [],
    };
    const frame = this.codec.encode(report);
    this.sockets.forEach((socket) => socket.send(balancer, frame));
  }
}

function createPacket(index: number): Buffer {
  const turn = index % PACKETS_PER_FLOW;
  return encodeModelPacket({
    client: FIRST_CLIENT + Math.floor(index / PACKETS_PER_FLOW),
    destination: BenchSetup.destination,
    flags: turn === 0 ? ModelFlag.opens : 0,
    sequence: turn,
    acknowledgement: 0,
    payload: turn === 0 ? '' : PAYLOAD,
  });
}

/** Sends packets until the child has sent its last report; returns microseconds by count. */
async function measureChild(child: ChildProcess, clients: Endpoint): Promise<Map<number, number>> {
  const socket = (await UdpSocket.bind(ADDRESS, 0, () => undefined)).unwrap();
  const cpuMicroseconds = new Map<number, number>();
  let sent = 0;
  return new Promise((resolve) => {
    const timer = setInterval(() => {
      for (let packet = 0; packet < BATCH_PACKETS; packet++) {
        socket.send(clients, createPacket(sent++));
      }
    }, BATCH_INTERVAL_MS);
    child.on('message', (report: ChildReport) => {
      if (report.kind === 'used') {
        cpuMicroseconds.set(report.packets, report.microseconds);
      }
      if (cpuMicroseconds.size === MEASURED_PACKET_COUNTS.length) {
        clearInterval(timer);
        socket.close();
        resolve(cpuMicroseconds);
      }
    });
  });
}

function awaitBound(child: ChildProcess): Promise<Extract<ChildReport, { kind: 'bound' }>> {
  return new Promise((resolve, reject) => {
    child.once('exit', (code) => reject(new Error(`measured process exited with code ${code}`)));
    child.on('message', (report: ChildReport) => {
      if (report.kind === 'bound') {
        resolve(report);
      }
    });
  });
}

/** Measures one path in a new child process. */
async function measurePath(path: PacketPath): Promise<PacketResult> {
  const agents = new SimulatedAgents(AGENT_VERSIONS[path]);
  const sink = (await UdpSocket.bind(ADDRESS, 0, () => undefined)).unwrap();
  const child = fork(join(__dirname, 'packets-child.js'), [path, String(sink.endpoint)]);
  const { clients, frames } = await awaitBound(child);
  if (path !== 'relay') {
    await agents.start(frames);
  }
  const cpuMicroseconds = await measureChild(child, clients);
  child.removeAllListeners('exit');
  child.kill();
  agents.stop();
  sink.close();
  const [early, cold, from, to] = MEASURED_PACKET_COUNTS as readonly [
    number,
    number,
    number,
    number,
  ];
  return {
    path,
    firstTwoHundred: cpuMicroseconds.get(early)! / early,
    firstTwoThousand: cpuMicroseconds.get(cold)! / cold,
    warm: (cpuMicroseconds.get(to)! - cpuMicroseconds.get(from)!) / (to - from),
  };
}

/** Measures all paths one after the other. */
export async function benchPackets(
  reportProgress: (line: string) => void,
): Promise<PacketResult[]> {
  const results: PacketResult[] = [];
  for (const path of ['relay', 'compact', 'repaired', 'document'] as const) {
    reportProgress(`measuring: ${path}`);
    results.push(await measurePath(path));
  }
  return results;
}
