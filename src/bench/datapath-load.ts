/**
 * Load generator of the data path benchmark: callers and an echo back end on a worker thread,
 * so that the thread under test runs only the path.
 */
import { parentPort, workerData } from 'node:worker_threads';
import { build } from 'hdr-histogram-js';
import type { Endpoint } from '../environment';
import { UdpSocket } from '../runtime/udp-socket';

const PAYLOAD_BYTES = 64;
const MICROSECONDS_PER_MS = 1_000;
const MS_PER_SECOND = 1_000;
const LOSS_TIMEOUT_MS = 200;
const WARM_UP_MS = 500;

/** Options of one load run, sent to the worker thread. */
export interface LoadOptions {
  /** Endpoint to which callers send. */
  readonly to: Endpoint;
  readonly address: string;
  readonly callers: number;
  /** Datagrams in flight at once, over all callers. */
  readonly window: number;
  readonly milliseconds: number;
}

/** Result of one load run. */
export interface LoadResult {
  readonly roundTrips: number;
  readonly lost: number;
  readonly seconds: number;
  /** Round trip in microseconds. */
  readonly p50: number;
  readonly p99: number;
}

class LoadCaller {
  private sentAt = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly run: LoadRun,
    private readonly socket: UdpSocket,
  ) {}

  send(): void {
    if (!this.run.isOver) {
      this.sentAt = performance.now();
      this.socket.send(this.run.options.to, this.run.payload);
      this.timer = setTimeout(() => {
        this.run.recordLoss();
        this.send();
      }, LOSS_TIMEOUT_MS);
    }
  }

  receive(): void {
    clearTimeout(this.timer);
    this.run.recordRoundTrip(performance.now() - this.sentAt);
    this.send();
  }

  close(): void {
    clearTimeout(this.timer);
    this.socket.close();
  }
}

class LoadRun {
  readonly payload = Buffer.alloc(PAYLOAD_BYTES, 'x');
  isOver = false;
  private readonly histogram = build({ numberOfSignificantValueDigits: 3 });
  private readonly startedAt = performance.now();
  private roundTrips = 0;
  private lost = 0;

  constructor(readonly options: LoadOptions) {}

  recordRoundTrip(milliseconds: number): void {
    if (performance.now() - this.startedAt > WARM_UP_MS) {
      this.roundTrips++;
      this.histogram.recordValue(Math.round(milliseconds * MICROSECONDS_PER_MS));
    }
  }

  recordLoss(): void {
    this.lost++;
  }

  async execute(): Promise<LoadResult> {
    const callers: LoadCaller[] = [];
    for (let index = 0; index < this.options.window; index++) {
      const bound = await UdpSocket.bind(this.options.address, 0, () => caller.receive());
      const caller = new LoadCaller(this, bound.unwrap());
      callers.push(caller);
    }
    callers.forEach((caller) => caller.send());
    await new Promise((resolve) => setTimeout(resolve, this.options.milliseconds + WARM_UP_MS));
    this.isOver = true;
    callers.forEach((caller) => caller.close());
    return {
      roundTrips: this.roundTrips,
      lost: this.lost,
      seconds: this.options.milliseconds / MS_PER_SECOND,
      p50: this.histogram.getValueAtPercentile(50),
      p99: this.histogram.getValueAtPercentile(99),
    };
  }
}

async function serve(): Promise<void> {
  const { address } = workerData as { address: string };
  const bound = await UdpSocket.bind(address, 0, (payload, from) => echo.send(from, payload));
  const echo = bound.unwrap();
  parentPort!.on('message', (options: LoadOptions) => {
    void new LoadRun(options).execute().then((result) => parentPort!.postMessage(result));
  });
  parentPort!.postMessage({ backend: echo.endpoint });
}

if (parentPort) {
  void serve();
}
