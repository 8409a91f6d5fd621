/** One balancer's router alone: its agents are played by the test, frame by frame. */
import type { Endpoint, Environment } from '../../src/environment';
import type { EventFields, EventKind } from '../../src/logging/events';
import { AgentDirectory } from '../../src/packets/agent-directory';
import { FlowCache } from '../../src/packets/flow-cache';
import { FlowRouter } from '../../src/packets/flow-router';
import { Locality } from '../../src/packets/locality/locality';
import { PacketFrameCodec } from '../../src/packets/packet-frames';
import { ZoneDetour } from '../../src/packets/zone-detour';
import { PacketLink } from '../../src/packets/packet-link';
import { HopRepair } from '../../src/packets/repair/hop-repair';
import type { PacketMessage, ReportMessage } from '../../src/packets/packet-messages';
import {
  encodeModelPacket,
  ModelFlag,
  modelPacketFormat,
} from '../../src/simulation/packets/model-packet-format';
import { createReport } from './reports';

/** Where the balancer is reached, and the one route's destination. */
export const BALANCER = 0x0a00_0001_0000;
export const DESTINATION = 0x0b00_0001_0000;
export const FIRST_AGENT = 0x0a00_0002_0000;
export const NEXT_MACHINE = 0x1_0000;
const KEY = { id: 1, secret: Buffer.from('a-test-key-of-the-cluster') };
const SEARCH_TIMEOUT_MS = 40;

/** A message that the router sent. */
export interface SentMessage {
  readonly to: Endpoint;
  /** Version of the frame that carried it. */
  readonly version: number;
  readonly message: PacketMessage;
}

/** What a harness may have otherwise than by default. */
export interface HarnessOptions {
  /** The balancer's zone; north by default. */
  readonly zone?: string;
  /** The setting of locality; on by default. */
  readonly locality?: boolean;
  /** Fields in which the agents' reports differ from an idle target's in north, by index. */
  readonly reports?: readonly Partial<ReportMessage>[];
}

/** A router with agents that all serve one route. */
export class RouterHarness {
  readonly codec = new PacketFrameCodec([KEY]);
  readonly directory = new AgentDirectory();
  readonly sent: SentMessage[] = [];
  readonly resets: Endpoint[] = [];
  readonly events: { readonly kind: EventKind; readonly fields: EventFields }[] = [];
  readonly agents: Endpoint[];
  readonly environment = this.createEnvironment();
  readonly router: FlowRouter;
  readonly hops: HopRepair;
  readonly locality: Locality;
  /** What the balancer's random source gives. */
  random = (): number => 0.5;
  now = 1_000;
  readonly detours = new ZoneDetour('north');
  /** Zones out of service. */
  evacuatedZones: readonly string[] = [];
  private readonly timers: { readonly at: number; readonly action: () => void }[] = [];

  /** @param frameVersions latest version of frames that each agent understands */
  constructor(frameVersions: readonly number[], options: HarnessOptions = {}) {
    const { environment } = this;
    const { locality = true, reports = [], zone = 'north' } = options;
    const transport = {
      send: (to: Endpoint, frame: Buffer): void => {
        const message = this.codec.decode(frame).unwrap();
        this.sent.push({ to, version: frame[0]!, message });
      },
    };
    const link = new PacketLink(this.codec, transport, environment);
    this.agents = frameVersions.map((frameVersion, index) => {
      const address = FIRST_AGENT + index * NEXT_MACHINE;
      this.directory.recordReport(
        address,
        createReport({ frameVersion, ...reports[index] }),
        this.now,
      );
      link.recordVersion(address, frameVersion);
      return address;
    });
    this.directory.markComplete(0);
    this.hops = new HopRepair({ environment, link, isEnabled: true, isReachable: () => true });
    this.locality = new Locality(
      { zone, locality, transferCost: 400 },
      environment,
      this.directory,
      (agent, probe) => link.send(agent, probe),
    );
    this.router = new FlowRouter({
      environment,
      zone,
      locality: this.locality,
      address: BALANCER,
      searchTimeout: SEARCH_TIMEOUT_MS,
      format: modelPacketFormat,
      directory: this.directory,
      cache: new FlowCache(1_000, 60_000),
      link,
      hops: this.hops,
      sendToClient: (client) => this.resets.push(client),
      detours: this.detours,
      isEvacuated: (zone) => this.evacuatedZones.includes(zone),
      isViewConverged: () => true,
    });
    this.router.apply({
      version: 1,
      idleTimeout: 60_000,
      profiles: [],
      routes: [
        { name: 'map', destination: DESTINATION, services: [{ service: 'map', weight: 1 }] },
      ],
    });
  }

  /** A packet of a client's flow that is open somewhere. */
  createData(client: Endpoint): Buffer {
    return encodeModelPacket({
      client,
      destination: DESTINATION,
      flags: 0,
      sequence: 1,
      acknowledgement: 1,
      payload: 'request',
    });
  }

  /** An opening packet. */
  createOpening(client: Endpoint, copy = 0): Buffer {
    return encodeModelPacket({
      client,
      destination: DESTINATION,
      flags: ModelFlag.opens,
      sequence: 0,
      acknowledgement: copy,
    });
  }

  /** Lets time pass, with the timers that come due. */
  runFor(milliseconds: number): void {
    this.now += milliseconds;
    const due = this.timers.filter(({ at }) => at <= this.now);
    due.forEach((timer) => this.timers.splice(this.timers.indexOf(timer), 1));
    due.forEach(({ action }) => action());
  }

  private createEnvironment(): Environment {
    return {
      now: () => this.now,
      startTimer: (delay, action) => {
        const timer = { at: this.now + delay, action };
        this.timers.push(timer);
        return { cancel: () => void this.timers.splice(this.timers.indexOf(timer), 1) };
      },
      random: () => this.random(),
      report: (kind, fields) => this.events.push({ kind, fields }),
    };
  }
}
