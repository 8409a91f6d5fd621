/** Settings of packet balancers and packet agents, and their validation. */
import { Ok, type Result } from 'ts-results';
import { parseEndpoint } from '../core/endpoint';
import type { Endpoint } from '../environment';
import { createFailure, type HallholdError } from '../errors/hallhold-error';
import { ResultCodes } from '../errors/result-codes';
import { DEFAULT_CHOICE, type ChoiceSettings } from './choice/choice-settings';
import type { ColdStartLimitSettings } from './cold-start-limiter';

const DEFAULT_FLOW_LIFETIME_MS = 60_000;
const DEFAULT_STOP_TIME_MS = 5_000;
const DEFAULT_HEARTBEAT_INTERVAL_MS = 1_000;
const DEFAULT_CAPACITY_PROCESSORS = 1;
const DEFAULT_LINK_SPEED_MBPS = 1_000;
const DEFAULT_APPLY_TIME_MS = 6_000;
const DEFAULT_EARLY_START = true;
const DEFAULT_REPAIR_HOPS = true;
const DEFAULT_REPAIR_ANSWERS = true;
const DEFAULT_LOCALITY = true;
const DEFAULT_PRIORITY_QUEUE = true;
/**
 * Milliseconds of waiting equivalent to sending a megabyte between zones: 32 ms for an answer of
 * 80,000 bytes, which takes a good part of a second anyway, 2 ms for 4,000 bytes with headers.
 */
const DEFAULT_TRANSFER_COST_MS_PER_MB = 400;
/** Exceptions must not make up more than half. */
const MAXIMUM_SHARE_PERCENT = 50;

/** Settings of a packet balancer or packet agent, checked. */
export interface PacketSettings {
  readonly name: string;
  readonly zone: string;
  /** Address at which other nodes reach this process, over UDP and TCP. */
  readonly address: Endpoint;
  /** Address to listen on for other nodes; differs from `address` behind NAT. */
  readonly listenAddress: Endpoint;
  /** Address at which client packets arrive (balancer). */
  readonly packetAddress: Endpoint | undefined;
  /** Address to which the target sends its packets (agent). */
  readonly targetOutbound: Endpoint | undefined;
  /** Address at which the target receives packets (agent). */
  readonly targetAddress: Endpoint | undefined;
  /** UDP port on which every client receives. */
  readonly clientPort: number;
  /** Service of the target on the agent's machine. */
  readonly service: string | undefined;
  readonly readyAddress: Endpoint | undefined;
  /** Address at which the target's heartbeats arrive (agent). */
  readonly controlAddress: Endpoint | undefined;
  readonly storeAddress: Endpoint;
  readonly seeds: readonly Endpoint[];
  /** Limits for cold targets (agent); undefined to disable them. */
  readonly coldLimit: ColdStartLimitSettings | undefined;
  /** Milliseconds between the heartbeats of a target. */
  readonly heartbeatInterval: number;
  /** Milliseconds after which an idle flow is forgotten. */
  readonly flowLifetime: number;
  /** Milliseconds that a planned stop may take. */
  readonly stopTime: number;
  /** Milliseconds within which a change of the routing table must be active. */
  readonly applyTime: number;
  /**
   * Milliseconds within which an operator's evacuation of a zone must take effect; undefined in a
   * deployment without evacuations, whose balancers make no store calls for them.
   */
  readonly evacuateTime: number | undefined;
  /** How agents are chosen for new flows (balancer). */
  readonly choice: ChoiceSettings;
  /** Processors that this process may use; may be fractional. */
  readonly capacity: number;
  /** Whether an agent retransmits packets of its target that a client does not acknowledge. */
  readonly repairAnswers: boolean;
  /** Bandwidth of the machine's link in Mbit/s. */
  readonly linkSpeed: number;
  /** Whether balancers and agents retransmit packets lost between them. */
  readonly repairHops: boolean;
  /** Whether new flows prefer their zone by cost; otherwise a fixed share goes to other zones. */
  readonly locality: boolean;
  /** Milliseconds of waiting equivalent to sending a megabyte between zones. */
  readonly transferCost: number;
  /** Whether queued requests are served by priority (agent). */
  readonly priorityQueue: boolean;
  /** Minimum percentage of scheduling turns of each lower priority (agent). */
  readonly lowerPriorityShare: number;
  /** Whether to use the faster start described in docs/design/restart.md. */
  readonly earlyStart: boolean;
  /** Port and path of the metrics endpoint; undefined for none. */
  readonly metrics: string | undefined;
}

/** Reads the fields of a settings document and collects all problems. */
class SettingsReader {
  readonly problems: string[] = [];

  constructor(private readonly document: Readonly<Record<string, unknown>>) {}

  readText(key: string): string {
    return this.readOptionalText(key) ?? this.reportMissing(key, '');
  }

  readOptionalText(key: string): string | undefined {
    const value = this.getValue(key);
    if (value === undefined) {
      return undefined;
    }
    if (typeof value !== 'string') {
      this.problems.push(`${key}: must be a string`);
      return undefined;
    }
    return value;
  }

  readEndpoint(key: string): Endpoint {
    return this.readOptionalEndpoint(key) ?? this.reportMissing(key, 0);
  }

  readOptionalEndpoint(key: string): Endpoint | undefined {
    const value = this.getValue(key);
    return value === undefined ? undefined : this.parseEndpointAt(key, value);
  }

  readEndpoints(key: string): Endpoint[] {
    const value = this.getValue(key) ?? [];
    if (!Array.isArray(value)) {
      this.problems.push(`${key}: must be a list of addresses`);
      return [];
    }
    return value.map((one, index) => this.parseEndpointAt(`${key}.${index}`, one));
  }

  readPositive(key: string, fallback: number): number {
    return this.readOptionalPositive(key) ?? fallback;
  }

  readOptionalPositive(key: string): number | undefined {
    const value = this.getValue(key);
    if (value === undefined) {
      return undefined;
    }
    if (typeof value !== 'number' || !(value > 0)) {
      this.problems.push(`${key}: must be a number above 0`);
      return undefined;
    }
    return value;
  }

  /** Reads a non-negative integer. */
  readOptionalCount(key: string): number | undefined {
    const value = this.getValue(key);
    if (value === undefined) {
      return undefined;
    }
    if (typeof value !== 'number' || !Number.isInteger(value) || value < 0) {
      this.problems.push(`${key}: must be a whole number of 0 or more`);
      return undefined;
    }
    return value;
  }

  /** Reads a boolean written as 1 or 0. */
  readToggle(key: string, fallback: boolean): boolean {
    const value = this.getValue(key);
    if (value === undefined) {
      return fallback;
    }
    if (value !== 0 && value !== 1) {
      this.problems.push(`${key}: must be 1 or 0`);
      return fallback;
    }
    return value === 1;
  }

  /** Reads an integer from 0 to a maximum. */
  readCountUpTo(key: string, maximum: number, fallback: number): number {
    const value = this.readOptionalCount(key) ?? fallback;
    if (value > maximum) {
      this.problems.push(`${key}: must be ${maximum} at most`);
    }
    return value;
  }

  readPort(key: string): number {
    const value = this.getValue(key);
    if (typeof value !== 'number' || !Number.isInteger(value) || value < 1 || value > 65_535) {
      this.problems.push(`${key}: must be a port`);
      return 0;
    }
    return value;
  }

  private parseEndpointAt(key: string, value: unknown): Endpoint {
    const parsed = typeof value === 'string' ? parseEndpoint(value) : undefined;
    if (!parsed?.ok) {
      this.problems.push(`${key}: must be of the form a.b.c.d:port`);
      return 0;
    }
    return parsed.val;
  }

  private getValue(key: string): unknown {
    const value = this.document[key];
    return value === '' || value === null ? undefined : value;
  }

  private reportMissing<T>(key: string, fallback: T): T {
    if (!this.problems.some((problem) => problem.startsWith(`${key}:`))) {
      this.problems.push(`${key}: is missing`);
    }
    return fallback;
  }
}

/**
 * Validates a settings document; unknown keys are ignored.
 * Error 1002 with one detail line for each wrong or missing key.
 */
export function checkPacketSettings(
  source: string,
  document: unknown,
): Result<PacketSettings, HallholdError> {
  if (typeof document !== 'object' || document === null) {
    return createFailure(
      ResultCodes.settingsInvalid,
      `${source} does not contain a settings object`,
    );
  }
  const reader = new SettingsReader(document as Record<string, unknown>);
  const settings = readSettings(reader);
  const { problems } = reader;
  return problems.length === 0
    ? new Ok(settings)
    : createFailure(
        ResultCodes.settingsInvalid,
        `${source} has ${problems.length} wrong keys`,
        problems,
      );
}

function readSettings(reader: SettingsReader): PacketSettings {
  const name = reader.readText('name');
  const zone = reader.readText('zone');
  const address = reader.readEndpoint('address');
  return {
    name,
    zone,
    address,
    listenAddress: reader.readOptionalEndpoint('listenAddress') ?? address,
    packetAddress: reader.readOptionalEndpoint('packetAddress'),
    targetOutbound: reader.readOptionalEndpoint('targetOutbound'),
    targetAddress: reader.readOptionalEndpoint('targetAddress'),
    clientPort: reader.readPort('clientPort'),
    service: reader.readOptionalText('service'),
    readyAddress: reader.readOptionalEndpoint('readyAddress'),
    controlAddress: reader.readOptionalEndpoint('controlAddress'),
    storeAddress: reader.readEndpoint('storeAddress'),
    seeds: reader.readEndpoints('seeds'),
    coldLimit: readColdLimit(reader),
    heartbeatInterval: reader.readPositive('heartbeatInterval', DEFAULT_HEARTBEAT_INTERVAL_MS),
    flowLifetime: reader.readPositive('flowLifetime', DEFAULT_FLOW_LIFETIME_MS),
    stopTime: reader.readPositive('stopTime', DEFAULT_STOP_TIME_MS),
    applyTime: reader.readPositive('applyTime', DEFAULT_APPLY_TIME_MS),
    evacuateTime: reader.readOptionalPositive('evacuateTime'),
    choice: readChoice(reader),
    capacity: reader.readPositive('capacity', DEFAULT_CAPACITY_PROCESSORS),
    repairAnswers: reader.readToggle('repairAnswers', DEFAULT_REPAIR_ANSWERS),
    linkSpeed: reader.readPositive('linkSpeed', DEFAULT_LINK_SPEED_MBPS),
    repairHops: reader.readToggle('repairHops', DEFAULT_REPAIR_HOPS),
    locality: reader.readToggle('locality', DEFAULT_LOCALITY),
    transferCost: reader.readPositive('transferCost', DEFAULT_TRANSFER_COST_MS_PER_MB),
    priorityQueue: reader.readToggle('priorityQueue', DEFAULT_PRIORITY_QUEUE),
    lowerPriorityShare: reader.readCountUpTo(
      'lowerPriorityShare',
      MAXIMUM_SHARE_PERCENT,
      DEFAULT_CHOICE.keptShare,
    ),
    earlyStart: reader.readToggle('earlyStart', DEFAULT_EARLY_START),
    metrics: reader.readOptionalText('metrics'),
  };
}

function readColdLimit(reader: SettingsReader): ColdStartLimitSettings | undefined {
  const overshoot = reader.readOptionalPositive('coldOvershoot');
  const slack = reader.readOptionalCount('coldSlack');
  if (overshoot === undefined) {
    return undefined;
  }
  return { overshoot, slack: slack ?? 0 };
}

function readChoice(reader: SettingsReader): ChoiceSettings {
  const { admission, expectedWait, keptFlows, keptShare, setAsideShare } = DEFAULT_CHOICE;
  return {
    expectedWait: reader.readToggle('expectedWait', expectedWait),
    setAsideShare: reader.readCountUpTo('setAsideShare', MAXIMUM_SHARE_PERCENT, setAsideShare),
    keptFlows: reader.readToggle('keptFlows', keptFlows),
    admission: reader.readToggle('admission', admission),
    keptShare: reader.readCountUpTo('lowerPriorityShare', MAXIMUM_SHARE_PERCENT, keptShare),
  };
}

/** Lists the keys whose values differ between two settings. */
export function listChangedKeys(before: PacketSettings, after: PacketSettings): string[] {
  const keys = Object.keys(after) as (keyof PacketSettings)[];
  return keys.filter((key) => JSON.stringify(before[key]) !== JSON.stringify(after[key]));
}
