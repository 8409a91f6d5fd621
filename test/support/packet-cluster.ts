/** Real processes of the packet interface on loopback, with stand-ins for their surroundings. */
import { spawn, type ChildProcess } from 'node:child_process';
import { createSocket, type Socket } from 'node:dgram';
import { createServer, type Server } from 'node:net';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { packetFormat } from '../../platform/packet-header';
import { fetchStatus } from './fetch-status';
import { ObjectApiStandin } from './object-api-standin';

/** Size of a packet's header; the payload follows. */
export const HEADER_BYTES = 31;
const MAIN_PATH = resolve(__dirname, '../../platform/main.js');
/** Flags of a header. */
export const Flag = { fin: 1, rst: 4, bounced: 8, syn: 16, ack: 128 } as const;

/** Ports of one cluster; alike on all of its machines. */
export interface ClusterPorts {
  readonly frames: number;
  readonly packets: number;
  readonly outbound: number;
  readonly application: number;
  readonly ready: number;
  readonly control: number;
}

/** Six consecutive ports from `first`; each cluster uses its own. */
export function createPorts(first: number): ClusterPorts {
  return {
    frames: first,
    packets: first + 1,
    outbound: first + 2,
    application: first + 3,
    ready: first + 4,
    control: first + 5,
  };
}

/** A packet with data; the checksum stays empty, since only client and target check it. */
export function encodePacket(
  source: readonly [string, number],
  destination: readonly [string, number],
  flags: number,
  sequence: number,
  acknowledgement: number,
  data = '',
): Buffer {
  const bytes = Buffer.alloc(HEADER_BYTES + Buffer.byteLength(data));
  const writeEndpoint = (offset: number, [address, port]: readonly [string, number]): void => {
    bytes.writeUInt16BE(port, offset);
    Buffer.from(address.split('.').map(Number)).copy(bytes, offset + 2);
  };
  writeEndpoint(0, source);
  writeEndpoint(6, destination);
  bytes.writeUInt16BE(Buffer.byteLength(data), 12);
  bytes.writeUInt32BE(sequence, 22);
  bytes.writeUInt32BE(acknowledgement, 26);
  bytes[30] = flags;
  bytes.write(data, HEADER_BYTES);
  return bytes;
}

function bindSocket(address: string, port: number): Promise<Socket> {
  const socket = createSocket('udp4');
  return new Promise((done) => socket.bind(port, address, () => done(socket)));
}

/** A target: accepts flows, answers each request, rejects packets of flows it does not hold. */
export class PacketTarget {
  readonly flows = new Set<string>();
  readonly requests: string[] = [];
  /** Number of opening packets received. */
  openings = 0;
  private sequence = 0;
  private state = 'ready';

  private constructor(
    private readonly socket: Socket,
    /** Only accepts connections, as the health check of a target does. */
    private readonly listener: Server,
    private readonly machine: string,
    private readonly ports: ClusterPorts,
    private readonly service: string,
  ) {
    socket.on('message', (bytes) => this.handlePacket(bytes));
  }

  static async start(machine: string, ports: ClusterPorts, service: string): Promise<PacketTarget> {
    const socket = await bindSocket(machine, ports.application);
    const listener = createServer((connection) => connection.on('error', () => undefined).end());
    await new Promise<void>((done) => listener.listen(ports.application, machine, done));
    return new PacketTarget(socket, listener, machine, ports, service);
  }

  stop(): void {
    this.socket.close();
    this.listener.close();
  }

  /** Announces the target's shutdown; it serves on. Resolves to the HTTP status. */
  deregister(): Promise<number> {
    return fetchStatus(this.machine, this.ports.control, 'DELETE', '/hallhold/instances/i-1', '{}');
  }

  drain(): Promise<number> {
    this.state = 'draining';
    return this.sendHeartbeat();
  }

  /** Sends a heartbeat; resolves to the HTTP status, 0 without an answer. */
  sendHeartbeat(): Promise<number> {
    const body = JSON.stringify({
      service: this.service,
      addr: `${this.machine}:${this.ports.application}`,
      zone: 'z',
      version: 'v1',
      slots: 4,
      state: this.state,
      'cold-left-ms': 0,
      seq: ++this.sequence,
    });
    return fetchStatus(this.machine, this.ports.control, 'PUT', '/hallhold/instances/i-1', body);
  }

  private handlePacket(bytes: Buffer): void {
    const packet = packetFormat.decodeFromClient(bytes)!;
    const client = [bytes.subarray(2, 6).join('.'), bytes.readUInt16BE(0)] as const;
    const route = [bytes.subarray(8, 12).join('.'), bytes.readUInt16BE(6)] as const;
    if (packet.opens) {
      this.openings++;
      this.flows.add(packet.flow);
      this.send(encodePacket(route, client, Flag.syn | Flag.ack, 100, packet.sequence));
    } else if (!this.flows.has(packet.flow)) {
      bytes[30]! |= Flag.bounced;
      this.send(bytes);
    } else if (packet.payloadLength > 0) {
      const text = bytes.toString('utf8', HEADER_BYTES);
      this.requests.push(text);
      const answer = `answer to ${text}`;
      this.send(encodePacket(route, client, Flag.ack, 100, packet.sequence, answer));
    }
  }

  private send(bytes: Buffer): void {
    this.socket.send(bytes, this.ports.outbound, this.machine);
  }
}

/** A client with one flow. */
export class PacketClient {
  readonly received: Buffer[] = [];
  private sequence = 1;

  private constructor(
    private readonly socket: Socket,
    private readonly machine: string,
    private readonly port: number,
    private readonly route: readonly [string, number],
    private readonly packetPort: number,
  ) {
    socket.on('message', (bytes) => this.received.push(bytes));
  }

  static async start(
    machine: string,
    port: number,
    route: readonly [string, number],
    ports: ClusterPorts,
  ): Promise<PacketClient> {
    const socket = await bindSocket(machine, ports.packets);
    return new PacketClient(socket, machine, port, route, ports.packets);
  }

  stop(): void {
    this.socket.close();
  }

  /** Opens the flow through a balancer; true when a target accepted it. */
  async openFlow(balancer: string): Promise<boolean> {
    for (let attempt = 0; attempt < 3; attempt++) {
      this.send(balancer, Flag.syn, attempt, '');
      if (await this.waitForPacket((flags) => (flags & (Flag.syn | Flag.rst)) !== 0, 600)) {
        return (this.received.at(-1)![30]! & Flag.syn) !== 0;
      }
    }
    return false;
  }

  /** Sends a request through a balancer and retransmits it until its answer or a reset arrives. */
  async sendRequest(balancer: string, text: string, milliseconds = 8_000): Promise<string> {
    this.sequence++;
    const deadline = Date.now() + milliseconds;
    while (Date.now() < deadline) {
      this.send(balancer, Flag.ack, 100, text);
      const found = await this.waitForPacket(
        (flags, data) => (flags & Flag.rst) !== 0 || data === `answer to ${text}`,
        250,
      );
      if (found) {
        const last = this.received.at(-1)!;
        return (last[30]! & Flag.rst) !== 0 ? 'reset' : last.toString('utf8', HEADER_BYTES);
      }
    }
    return 'nothing';
  }

  private send(balancer: string, flags: number, acknowledgement: number, data: string): void {
    const source = [this.machine, this.port] as const;
    const bytes = encodePacket(source, this.route, flags, this.sequence, acknowledgement, data);
    this.socket.send(bytes, this.packetPort, balancer);
  }

  private async waitForPacket(
    matches: (flags: number, data: string) => boolean,
    milliseconds: number,
  ): Promise<boolean> {
    const deadline = Date.now() + milliseconds;
    while (Date.now() < deadline) {
      const last = this.received.at(-1);
      if (last && matches(last[30]!, last.toString('utf8', HEADER_BYTES))) {
        return true;
      }
      await pause(10);
    }
    return false;
  }
}

/** A process of the cluster. */
export interface ClusterProcess {
  readonly child: ChildProcess;
  readonly settingsPath: string;
  readonly exit: Promise<number | null>;
}

/** The processes and the store of one test. */
export class PacketCluster {
  readonly store = new ObjectApiStandin();
  readonly processes: ClusterProcess[] = [];
  private storeAddress = '';

  constructor(readonly ports: ClusterPorts) {}

  async start(): Promise<void> {
    this.storeAddress = await this.store.start();
  }

  /** Starts a role on a machine; nothing reads its output. */
  spawn(role: 'balancer' | 'agent', machine: string, service?: string): ClusterProcess {
    const { frames, packets, outbound, application, ready, control } = this.ports;
    const settings = {
      name: `${role}-${machine}`,
      zone: 'z',
      address: `${machine}:${frames}`,
      packetAddress: `${machine}:${packets}`,
      targetOutbound: role === 'agent' ? `${machine}:${outbound}` : '',
      targetAddress: role === 'agent' ? `${machine}:${application}` : '',
      service: service ?? '',
      readyAddress: `${machine}:${ready}`,
      controlAddress: `${machine}:${control}`,
      storeAddress: this.storeAddress,
      seeds: '',
      stopTime: 3_000,
    };
    const settingsPath = join(mkdtempSync(join(tmpdir(), 'hallhold-')), 'settings.json');
    writeFileSync(settingsPath, JSON.stringify(settings));
    const child = spawn(process.execPath, [MAIN_PATH, role], {
      stdio: ['ignore', 'pipe', 'inherit'],
      env: { ...process.env, HALLHOLD_CONFIG: settingsPath, CLUSTER_KEY: 'test-key' },
    });
    const exit = new Promise<number | null>((done) => child.once('exit', done));
    const running = { child, settingsPath, exit };
    this.processes.push(running);
    return running;
  }

  async stop(): Promise<void> {
    this.processes.forEach(({ child }) => child.kill('SIGKILL'));
    await Promise.all(this.processes.map(({ exit }) => exit));
    this.store.stop();
  }

  fetchReadiness(machine: string): Promise<number> {
    return fetchStatus(machine, this.ports.ready, 'GET', '/hallhold/ready');
  }

  /** Waits until a balancer reports that it is ready. */
  async waitUntilReady(machine: string): Promise<void> {
    await waitFor(async () => (await this.fetchReadiness(machine)) === 200);
  }
}

/** Waits for a condition; throws after 20 seconds. */
export async function waitFor(condition: () => Promise<boolean> | boolean): Promise<void> {
  const deadline = Date.now() + 20_000;
  while (!(await condition())) {
    if (Date.now() > deadline) {
      throw new Error('the condition did not hold within 20 s');
    }
    await pause(30);
  }
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((done) => setTimeout(done, milliseconds));
}
