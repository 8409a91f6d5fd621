/** A complete agent whose target, clients and balancer are simulated by the test. */
import { packetFormat } from '../../platform/packet-header';
import { packEndpoint } from '../../src/core/endpoint';
import { PacketAgent } from '../../src/packets/packet-agent';
import type { PacketAgentSettings } from '../../src/packets/packet-agent-contracts';
import { PacketFrameCodec } from '../../src/packets/packet-frames';
import { PacketMessageType, type PacketMessage } from '../../src/packets/packet-messages';
import { VirtualClock } from '../../src/simulation/virtual-clock';

/** Addresses of the agent and the balancer. */
export const AGENT = packEndpoint('10.0.0.1', 7_000);
export const BALANCER = packEndpoint('10.0.0.2', 7_000);
const CODEC = new PacketFrameCodec([{ id: 1, secret: Buffer.from('a-test-key-of-the-cluster') }]);

/** One packet that reached a client. */
export interface Arrival {
  readonly at: number;
  readonly bytes: Buffer;
}

/** The agent of one test, recording everything that it sends. */
export class AgentHarness {
  readonly clock = new VirtualClock();
  readonly toClient: Arrival[] = [];
  readonly toTarget: Buffer[] = [];
  readonly toNodes: PacketMessage[] = [];
  readonly agent: PacketAgent;

  /** @param settings settings that differ from those of an agent with all features disabled */
  constructor(settings: Partial<PacketAgentSettings>) {
    this.agent = new PacketAgent(
      {
        zone: 'north',
        address: AGENT,
        service: 'map',
        seeds: [],
        heartbeatInterval: 1_000,
        coldLimit: undefined,
        flowLifetime: 60_000,
        repairAnswers: false,
        repairHops: false,
        earlyStart: false,
        priorityQueue: false,
        lowerPriorityShare: 10,
        ...settings,
      },
      {
        environment: {
          now: () => this.clock.now,
          startTimer: (delay, action) => this.clock.schedule(delay, action),
          random: () => 0.5,
          report: () => undefined,
        },
        startedAt: 0,
        born: 0,
        codec: CODEC,
        transport: { send: (_to, frame) => this.toNodes.push(CODEC.decode(frame).unwrap()) },
        format: packetFormat,
        registry: { add: () => undefined, remove: () => undefined } as never,
        targetProbe: { checkVacant: () => undefined },
        sendToClient: (_client, bytes) =>
          this.toClient.push({ at: this.clock.now, bytes: Buffer.from(bytes) }),
        sendToTarget: (bytes) => this.toTarget.push(Buffer.from(bytes)),
      },
    );
  }

  /** Passes a message of the balancer to the agent. */
  receive(message: PacketMessage): void {
    const isSearch = message.type === PacketMessageType.search;
    const frame = isSearch ? CODEC.encodeCompact(message) : CODEC.encode(message);
    this.agent.handleFrame(frame, BALANCER);
  }

  runFor(milliseconds: number): void {
    this.clock.runUntil(this.clock.now + milliseconds);
  }
}
