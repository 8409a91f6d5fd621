/** Settings of the processes of the packet interface, and their check. */
import { Ok, type Result } from 'ts-results';
import { parseEndpoint } from '../core/endpoint';
import type { Endpoint } from '../environment';
import { failure, type HallholdError } from '../errors/hallhold-error';
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
 * Milliseconds of waiting that a megabyte between zones is worth: 32 for an answer of 80,000 bytes,
 * which its client awaits for a good part of a second anyway, and 2 for one of 4,000 with its heads.
 */
const DEFAULT_TRANSFER_COST_MS_PER_MB = 400;
/** Percent: beyond a half, an exception is the rule. */
const MAXIMUM_SHARE_PERCENT = 50;

/** Settings of a packet balancer or packet agent, checked. */
export interface PacketSettings {
  readonly name: string;
  readonly zone: string;
  /** Where other nodes reach this process, over UDP and TCP. */
  readonly address: Endpoint;
  /** Where this process listens for other nodes; differs from `address` behind a translation. */
  readonly listenAddress: Endpoint;
  /** Where clients' packets arrive (balancer). */
  readonly packetAddress: Endpoint | undefined;
  /** Where the target sends its packets (agent). */
  readonly targetOutbound: Endpoint | undefined;
  /** Where the target takes packets (agent). */
  readonly targetAddress: Endpoint | undefined;
  /** UDP port at which every client receives. */
  readonly clientPort: number;
  /** The service of the target beside an agent. */
  readonly service: string | undefined;
  readonly readyAddress: Endpoint | undefined;
  /** Where the target's heartbeats arrive (agent). */
  readonly controlAddress: Endpoint | undefined;
  readonly storeAddress: Endpoint;
  readonly seeds: readonly Endpoint[];
  /** Limits of cold targets (agent); undefined in a deployment without them. */
  readonly coldLimit: ColdStartLimitSettings | undefined;
  /** Milliseconds between two heartbeats of a target. */
  readonly heartbeatInterval: number;
  /** Milliseconds for which a flow may rest before it is forgotten. */
  readonly flowLifetime: number;
  /** Milliseconds that a planned stop may take. */
  readonly stopTime: number;
  /** Milliseconds in which a change of the routing table must be in force. */
  readonly applyTime: number;
  /**
   * Milliseconds in which a zone must be out of service once an operator has said so; undefined in
   * a deployment that evacuates no zones, whose balancers then make no calls for it.
   */
  readonly evacuateTime: number | undefined;
  /** How agents are chosen for new flows (balancer). */
  readonly choice: ChoiceSettings;
  /** Processors that this process may use; may be a part of one. */
  readonly capacity: number;
  /** Whether an agent repeats packets of its target that a client does not acknowledge. */
  readonly repairAnswers: boolean;
  /** Megabits a second that the machine's link carries. */
  readonly linkSpeed: number;
  /** Whether packets lost between balancer and agent are sent once more by the two of them. */
  readonly repairHops: boolean;
  /** Whether new flows stay in their zone as far as that pays; else a fixed share goes to others. */
  readonly locality: boolean;
  /** Milliseconds of waiting that a megabyte between zones is worth. */
  readonly transferCost: number;
  /** Whether more urgent requests go first where requests wait (agent). */
  readonly priorityQueue: boolean;
  /** Turns in a hundred that each lower priority keeps meanwhile (agent). */
  readonly lowerPriorityShare: number;
  /** Whether a start is shortened by what docs/design/restart.md describes. */
  readonly earlyStart: boolean;
  /** Port and path of the metrics page; undefined for none. */
  readonly metrics: string | undefined;
}

/** Reads the fields of one settings document and collects everything that is wrong. */
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
      this.problems.push(`${key}: must be a text`);
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

  /** A whole number of 0 or more. */
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

  /** 1 for true, 0 for false. */
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

  /** A whole number from 0 to a highest one. */
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
 * Checks a settings document; unknown keys are left alone.
 * Error 1002 with one detail line for each wrong or missing key.
 */
export function checkPacketSettings(
  source: string,
  document: unknown,
): Result<PacketSettings, HallholdError> {
  if (typeof document !== 'object' || document === null) {
    return failure(ResultCodes.settingsInvalid, `${source} is not a table of settings`);
  }
  const reader = new SettingsReader(document as Record<string, unknown>);
  const settings = readSettings(reader);
  const { problems } = reader;
  return problems.length === 0
    ? new Ok(settings)
    : failure(ResultCodes.settingsInvalid, `${source} has ${problems.length} wrong keys`, problems);
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

/** Keys whose values differ between two settings. */
export function listChangedKeys(before: PacketSettings, after: PacketSettings): string[] {
  const keys = Object.keys(after) as (keyof PacketSettings)[];
  return keys.filter((key) => JSON.stringify(before[key]) !== JSON.stringify(after[key]));
}
