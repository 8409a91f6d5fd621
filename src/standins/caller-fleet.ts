/** Many callers of one service, each on a socket of its own. */
import { getEndpointAddress } from '../core/endpoint';
import type { Endpoint, Environment } from '../environment';
import { UdpSocket } from '../runtime/udp-socket';
import type { Caller, CallerSurroundings } from './caller';
import { DatagramCaller } from './datagram-caller';
import { FeedCaller } from './feed-caller';
import { ReportCaller } from './report-caller';
import { TransferCaller } from './transfer-caller';
import { CallerStatistics } from './caller-statistics';
import { RunRecord } from './run-record';

const FEED_SILENCE_LIMIT = 15_000;
const REPORT_INTERVAL = 1_000;
const TRANSFER_INTERVAL = 200;
const DATAGRAM_INTERVAL = 200;

/** How many callers of each kind. */
export interface FleetMix {
  readonly feeds: number;
  readonly reporters: number;
  readonly transfers: number;
  readonly datagrams: number;
  readonly tileBytes: number;
}

/** Callers of one service. */
export class CallerFleet {
  readonly statistics = new CallerStatistics();
  readonly record: RunRecord;
  private readonly callers: Caller[] = [];
  private readonly sockets: UdpSocket[] = [];

  /**
   * @param to the service's address
   * @param name goes into report ids, so that several fleets stay apart
   */
  constructor(
    private readonly environment: Environment,
    private readonly to: Endpoint,
    private readonly service: string,
    private readonly name: string,
    shared: { readonly record?: RunRecord; readonly statistics?: CallerStatistics } = {},
  ) {
    this.record = shared.record ?? new RunRecord();
    this.statistics = shared.statistics ?? this.statistics;
  }

  /** Opens the sockets and starts the callers. */
  async start(mix: FleetMix): Promise<void> {
    await this.startMany(mix.feeds, (surroundings, index) => {
      return new FeedCaller(surroundings, `feed/gate-${index}`, FEED_SILENCE_LIMIT);
    });
    await this.startMany(mix.reporters, (surroundings, index) => {
      return new ReportCaller(surroundings, `${this.name}-${index}`, REPORT_INTERVAL);
    });
    await this.startMany(mix.transfers, (surroundings, index) => {
      const name = `plan-${index}`;
      return new TransferCaller(surroundings, name, TRANSFER_INTERVAL, mix.tileBytes);
    });
    await this.startMany(mix.datagrams, (surroundings, index) => {
      return new DatagramCaller(surroundings, `${this.name}-${index}`, DATAGRAM_INTERVAL);
    });
  }

  /** What the callers saw, as one JSON object. */
  summary(): Record<string, unknown> {
    const { statistics, record } = this;
    const numbers = Object.entries(statistics).filter(([, value]) => typeof value === 'number');
    return {
      ...Object.fromEntries(numbers),
      latencyMs: statistics.latencies(),
      breakReasons: Object.fromEntries(statistics.breakReasons),
      refusedAttempts: record.refused(),
    };
  }

  stop(): void {
    this.callers.forEach((caller) => caller.stop());
    this.sockets.forEach((socket) => socket.close());
  }

  private async startMany(
    count: number,
    create: (surroundings: CallerSurroundings, index: number) => Caller,
  ): Promise<void> {
    for (let index = 0; index < count; index++) {
      await this.startOne((surroundings) => create(surroundings, index));
    }
  }

  private async startOne(create: (surroundings: CallerSurroundings) => Caller): Promise<void> {
    const bound = await UdpSocket.bind(getEndpointAddress(this.to), 0, (datagram) =>
      caller.receive(datagram),
    );
    if (bound.err) {
      throw bound.val;
    }
    const socket = bound.val;
    const caller = create({
      environment: this.environment,
      statistics: this.statistics,
      record: this.record,
      service: this.service,
      send: (datagram) => socket.send(this.to, datagram),
    });
    this.sockets.push(socket);
    this.callers.push(caller);
    caller.start();
  }
}
