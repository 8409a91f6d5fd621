/** Settings of the processes of the packet interface, and their check. */
import { Ok, type Result } from 'ts-results';
import { parseEndpoint } from '../core/endpoint';
import type { Endpoint } from '../environment';
import { failure, type HallholdError } from '../errors/hallhold-error';
import { ResultCodes } from '../errors/result-codes';
import { DEFAULT_CHOICE, type ChoiceSettings } from './choice/choice-settings';
import type { ColdStartLimitSettings } from './cold-start-limiter';

const DEFAULT_FLOW_LIFETIME = 60_000;
const DEFAULT_STOP_TIME = 5_000;
const DEFAULT_HEARTBEAT_INTERVAL = 1_000;
const DEFAULT_CAPACITY = 1;
const DEFAULT_LINK_SPEED = 1_000;
const DEFAULT_APPLY_TIME = 6_000;
const DEFAULT_EARLY_START = true;
const DEFAULT_REPAIR_HOPS = true;
const DEFAULT_REPAIR_ANSWERS = true;
const DEFAULT_LOCALITY = true;
const DEFAULT_PRIORITY_QUEUE = true;
/**
 * Milliseconds of waiting that a megabyte between zones is worth: 32 for an answer of 80,000 bytes,
 * which its client awaits for a good part of a second anyway, and 2 for one of 4,000 with its heads.
 */
const DEFAULT_TRANSFER_COST = 400;
/** Percent: beyond a half, an exception is the rule. */
const HIGHEST_SHARE = 50;

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

  text(key: string): string {
    return this.optionalText(key) ?? this.missing(key, '');
  }

  optionalText(key: string): string | undefined {
    const value = this.given(key);
    if (value === undefined) {
      return undefined;
    }
    if (typeof value !== 'string') {
      this.problems.push(`${key}: must be a text`);
      return undefined;
    }
    return value;
  }

  endpoint(key: string): Endpoint {
    return this.optionalEndpoint(key) ?? this.missing(key, 0);
  }

  optionalEndpoint(key: string): Endpoint | undefined {
    const value = this.given(key);
    return value === undefined ? undefined : this.parse(key, value);
  }

  endpoints(key: string): Endpoint[] {
    const value = this.given(key) ?? [];
    if (!Array.isArray(value)) {
      this.problems.push(`${key}: must be a list of addresses`);
      return [];
    }
    return value.map((one, index) => this.parse(`${key}.${index}`, one));
  }

  positive(key: string, fallback: number): number {
    return this.optionalPositive(key) ?? fallback;
  }

  optionalPositive(key: string): number | undefined {
    const value = this.given(key);
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
  optionalCount(key: string): number | undefined {
    const value = this.given(key);
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
  toggle(key: string, fallback: boolean): boolean {
    const value = this.given(key);
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
  countUpTo(key: string, highest: number, fallback: number): number {
    const value = this.optionalCount(key) ?? fallback;
    if (value > highest) {
      this.problems.push(`${key}: must be ${highest} at most`);
    }
    return value;
  }

  port(key: string): number {
    const value = this.given(key);
    if (typeof value !== 'number' || !Number.isInteger(value) || value < 1 || value > 65_535) {
      this.problems.push(`${key}: must be a port`);
      return 0;
    }
    return value;
  }

  private parse(key: string, value: unknown): Endpoint {
    const parsed = typeof value === 'string' ? parseEndpoint(value) : undefined;
    if (!parsed?.ok) {
      this.problems.push(`${key}: must be of the form a.b.c.d:port`);
      return 0;
    }
    return parsed.val;
  }

  private given(key: string): unknown {
    const value = this.document[key];
    return value === '' || value === null ? undefined : value;
  }

  private missing<T>(key: string, fallback: T): T {
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
  const name = reader.text('name');
  const zone = reader.text('zone');
  const address = reader.endpoint('address');
  return {
    name,
    zone,
    address,
    listenAddress: reader.optionalEndpoint('listenAddress') ?? address,
    packetAddress: reader.optionalEndpoint('packetAddress'),
    targetOutbound: reader.optionalEndpoint('targetOutbound'),
    targetAddress: reader.optionalEndpoint('targetAddress'),
    clientPort: reader.port('clientPort'),
    service: reader.optionalText('service'),
    readyAddress: reader.optionalEndpoint('readyAddress'),
    controlAddress: reader.optionalEndpoint('controlAddress'),
    storeAddress: reader.endpoint('storeAddress'),
    seeds: reader.endpoints('seeds'),
    coldLimit: readColdLimit(reader),
    heartbeatInterval: reader.positive('heartbeatInterval', DEFAULT_HEARTBEAT_INTERVAL),
    flowLifetime: reader.positive('flowLifetime', DEFAULT_FLOW_LIFETIME),
    stopTime: reader.positive('stopTime', DEFAULT_STOP_TIME),
    applyTime: reader.positive('applyTime', DEFAULT_APPLY_TIME),
    evacuateTime: reader.optionalPositive('evacuateTime'),
    choice: readChoice(reader),
    capacity: reader.positive('capacity', DEFAULT_CAPACITY),
    repairAnswers: reader.toggle('repairAnswers', DEFAULT_REPAIR_ANSWERS),
    linkSpeed: reader.positive('linkSpeed', DEFAULT_LINK_SPEED),
    repairHops: reader.toggle('repairHops', DEFAULT_REPAIR_HOPS),
    locality: reader.toggle('locality', DEFAULT_LOCALITY),
    transferCost: reader.positive('transferCost', DEFAULT_TRANSFER_COST),
    priorityQueue: reader.toggle('priorityQueue', DEFAULT_PRIORITY_QUEUE),
    lowerPriorityShare: reader.countUpTo(
      'lowerPriorityShare',
      HIGHEST_SHARE,
      DEFAULT_CHOICE.keptShare,
    ),
    earlyStart: reader.toggle('earlyStart', DEFAULT_EARLY_START),
    metrics: reader.optionalText('metrics'),
  };
}

function readColdLimit(reader: SettingsReader): ColdStartLimitSettings | undefined {
  const overshoot = reader.optionalPositive('coldOvershoot');
  const slack = reader.optionalCount('coldSlack');
  if (overshoot === undefined) {
    return undefined;
  }
  return { overshoot, slack: slack ?? 0 };
}

function readChoice(reader: SettingsReader): ChoiceSettings {
  const { admission, expectedWait, keptFlows, keptShare, setAsideShare } = DEFAULT_CHOICE;
  return {
    expectedWait: reader.toggle('expectedWait', expectedWait),
    setAsideShare: reader.countUpTo('setAsideShare', HIGHEST_SHARE, setAsideShare),
    keptFlows: reader.toggle('keptFlows', keptFlows),
    admission: reader.toggle('admission', admission),
    keptShare: reader.countUpTo('lowerPriorityShare', HIGHEST_SHARE, keptShare),
  };
}

/** Keys whose values differ between two settings. */
export function changedKeys(before: PacketSettings, after: PacketSettings): string[] {
  const keys = Object.keys(after) as (keyof PacketSettings)[];
  return keys.filter((key) => JSON.stringify(before[key]) !== JSON.stringify(after[key]));
}
