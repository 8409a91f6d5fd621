/** Callers of one service, each with its own socket. */
import { getEndpointAddress } from '../core/endpoint';
import type { Endpoint, Environment } from '../environment';
import { UdpSocket } from '../runtime/udp-socket';
import type { Caller, CallerContext } from './caller';
import { DatagramCaller } from './datagram-caller';
import { FeedCaller } from './feed-caller';
import { ReportCaller } from './report-caller';
import { TransferCaller } from './transfer-caller';
import { CallerStatistics } from './caller-statistics';
import { RunRecord } from './run-record';

const FEED_TIMEOUT_MS = 15_000;
const REPORT_INTERVAL_MS = 1_000;
const TRANSFER_INTERVAL_MS = 200;
const DATAGRAM_INTERVAL_MS = 200;

/** Number of callers of each kind, and the size of the tiles they fetch. */
export interface FleetMix {
  readonly feeds: number;
  readonly reporters: number;
  readonly transfers: number;
  readonly datagrams: number;
  readonly tileBytes: number;
}

/** Starts and stops the callers of one service and holds their results. */
export class CallerFleet {
  readonly statistics = new CallerStatistics();
  readonly record: RunRecord;
  private readonly callers: Caller[] = [];
  private readonly sockets: UdpSocket[] = [];

  /**
   * @param to address of the service
   * @param name prefix of report ids; tells the reports of several fleets apart
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

  /** Opens the sockets and starts the callers; throws if a socket cannot be bound. */
  async start(mix: FleetMix): Promise<void> {
    await this.startMany(mix.feeds, (context, index) => {
      return new FeedCaller(context, `feed/gate-${index}`, FEED_TIMEOUT_MS);
    });
    await this.startMany(mix.reporters, (context, index) => {
      return new ReportCaller(context, `${this.name}-${index}`, REPORT_INTERVAL_MS);
    });
    await this.startMany(mix.transfers, (context, index) => {
      const name = `plan-${index}`;
      return new TransferCaller(context, name, TRANSFER_INTERVAL_MS, mix.tileBytes);
    });
    await this.startMany(mix.datagrams, (context, index) => {
      return new DatagramCaller(context, `${this.name}-${index}`, DATAGRAM_INTERVAL_MS);
    });
  }

  /** Returns the callers' results as one JSON object. */
  createSummary(): Record<string, unknown> {
    const { statistics, record } = this;
    const numbers = Object.entries(statistics).filter(([, value]) => typeof value === 'number');
    return {
      ...Object.fromEntries(numbers),
      latencyMs: statistics.getLatencies(),
      breakReasons: Object.fromEntries(statistics.breakReasons),
      refusedAttempts: record.listAttemptsRefused(),
    };
  }

  stop(): void {
    this.callers.forEach((caller) => caller.stop());
    this.sockets.forEach((socket) => socket.close());
  }

  private async startMany(
    count: number,
    create: (context: CallerContext, index: number) => Caller,
  ): Promise<void> {
    for (let index = 0; index < count; index++) {
      await this.startOne((context) => create(context, index));
    }
  }

  private async startOne(create: (context: CallerContext) => Caller): Promise<void> {
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
