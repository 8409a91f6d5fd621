/** The router of one balancer in isolation; the test acts as its agents, frame by frame. */
import type { Endpoint, Environment } from '../../src/environment';
import type { EventFields, EventKind } from '../../src/logging/events';
import { AgentDirectory } from '../../src/packets/agent-directory';
import { FlowCache } from '../../src/packets/flow-cache';
import { FlowDestinations } from '../../src/packets/flow-destinations';
import { FormerServices } from '../../src/packets/former-services';
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

/** Address of the balancer, and the destination of the only route. */
export const BALANCER = 0x0a00_0001_0000;
export const DESTINATION = 0x0b00_0001_0000;
export const FIRST_AGENT = 0x0a00_0002_0000;
export const NEXT_MACHINE = 0x1_0000;
const KEY = { id: 1, secret: Buffer.from('a-test-key-of-the-cluster') };
const SEARCH_TIMEOUT_MS = 40;

/** A message that the router sent. */
export interface SentMessage {
  readonly to: Endpoint;
  /** Version of its frame. */
  readonly version: number;
  readonly message: PacketMessage;
}

/** Options of a harness that replace defaults. */
export interface HarnessOptions {
  /** The balancer's zone; north by default. */
  readonly zone?: string;
  /** The `locality` setting; on by default. */
  readonly locality?: boolean;
  /** Fields by agent index that replace those of the report of an idle target in north. */
  readonly reports?: readonly Partial<ReportMessage>[];
}

/** A router whose agents all serve one route. */
export class RouterHarness {
  readonly codec = new PacketFrameCodec([KEY]);
  readonly directory = new AgentDirectory();
  readonly formerServices = new FormerServices(60_000);
  readonly flowDestinations = new FlowDestinations(60_000, 3_000);
  readonly sent: SentMessage[] = [];
  readonly resets: Endpoint[] = [];
  readonly events: { readonly kind: EventKind; readonly fields: EventFields }[] = [];
  readonly agents: Endpoint[];
  readonly environment = this.createEnvironment();
  readonly router: FlowRouter;
  readonly hops: HopRepair;
  readonly locality: Locality;
  /** The balancer's random source. */
  random = (): number => 0.5;
  now = 1_000;
  readonly detours = new ZoneDetour('north');
  /** Evacuated zones. */
  evacuatedZones: readonly string[] = [];
  private readonly timers: { readonly at: number; readonly action: () => void }[] = [];

  /** @param frameVersions latest frame version that each agent supports */
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
      formerServices: this.formerServices,
      flowDestinations: this.flowDestinations,
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

  /** Creates a data packet of a client's flow. */
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

  /** Creates an opening packet; `copy` is the number of its transmission. */
  createOpening(client: Endpoint, copy = 0): Buffer {
    return encodeModelPacket({
      client,
      destination: DESTINATION,
      flags: ModelFlag.opens,
      sequence: 0,
      acknowledgement: copy,
    });
  }

  /** Advances the time and runs the timers that are due. */
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
