/** `hallhold standin ...`: minimal stand-ins for the systems that hallhold works with. */
import { Command, Option } from 'clipanion';
import * as validator from 'typanion';
import { parseEndpoint } from '../core/endpoint';
import type { Endpoint } from '../environment';
import { EventLog } from '../logging/event-log';
import { RealEnvironment } from '../runtime/real-environment';
import { UdpSocket } from '../runtime/udp-socket';
import { BackendStandin } from '../standins/backend-standin';
import { startRecordServer } from '../standins/record-server';
import { CallerFleet } from '../standins/caller-fleet';
import { FabricStandin } from '../standins/fabric-standin';
import { PlatformServer } from '../standins/platform-server';
import { RunRecord } from '../standins/run-record';
import { ExitCode, printError, printJson } from './output';
import { runUntilSignal, type StoppableProcess } from './process-runner';

const isWholeNumber = validator.cascade(
  validator.isNumber(),
  validator.isInteger(),
  validator.isAtLeast(0),
);

function parseEndpointOrThrow(text: string): Endpoint {
  const parsed = parseEndpoint(text);
  if (parsed.err) {
    throw parsed.val;
  }
  return parsed.val;
}

function createStandinEnvironment(): RealEnvironment {
  return new RealEnvironment(new EventLog('standin', 'error'));
}

export class StandinPlatformCommand extends Command {
  static override paths = [['standin', 'platform']];
  static override usage = Command.Usage({
    description: 'Run the platform stand-in: object store and machine list over HTTP.',
    examples: [['On a loopback address', '$0 standin platform --listen 127.0.0.1:7900']],
  });

  listen = Option.String('--listen', { required: true });
  machineLag = Option.String('--machine-lag', '1000', {
    description: 'Delay of the machine list in milliseconds',
    validator: isWholeNumber,
  });

  async execute(): Promise<number> {
    return runUntilSignal(this.context, async () => {
      const listen = parseEndpointOrThrow(this.listen);
      const server = new PlatformServer({ listen, machineLag: this.machineLag });
      this.context.stdout.write(`${await server.start()}\n`);
      return server;
    });
  }
}

export class StandinBackendCommand extends Command {
  static override paths = [['standin', 'backend']];
  static override usage = Command.Usage({
    description: 'Run a back-end stand-in: feeds, reports, tiles, load.',
    details:
      'Lists the requests it ran at http://RECORD/runs, so that tests can compare them with the answers callers received.',
    examples: [
      [
        'A coap back end',
        '$0 standin backend --listen 127.0.2.1:5700 --service live-map --target target-1',
      ],
    ],
  });

  listen = Option.String('--listen', { required: true });
  service = Option.String('--service', { required: true });
  target = Option.String('--target', { required: true });
  record = Option.String('--record', { description: 'Address of the list of requests run' });
  protocol = Option.String('--protocol', 'coap', {
    validator: validator.isEnum(['coap', 'datagram'] as const),
  });
  serviceTime = Option.String('--service-time', '20', {
    description: 'Mean milliseconds of a request',
    validator: isWholeNumber,
  });
  tileBytes = Option.String('--tile-bytes', '6000', { validator: isWholeNumber });

  async execute(): Promise<number> {
    return runUntilSignal(this.context, () => this.start());
  }

  private async start(): Promise<StoppableProcess> {
    const environment = createStandinEnvironment();
    const record = new RunRecord();
    const { service, target, serviceTime, tileBytes } = this;
    const options = { service, target, serviceTime, tileBytes, run: Date.now(), feedInterval: 500 };
    const backend = new BackendStandin(options, environment, record, (to, datagram) =>
      socket.send(to, datagram),
    );
    const bound = await UdpSocket.bindEndpoint(
      parseEndpointOrThrow(this.listen),
      (datagram, from) =>
        this.protocol === 'coap'
          ? backend.receive(datagram, from)
          : backend.receiveDatagram(datagram, from),
    );
    if (bound.err) {
      throw bound.val;
    }
    const socket = bound.val;
    const server = this.record
      ? await startRecordServer(parseEndpointOrThrow(this.record), record)
      : undefined;
    return {
      stop: async () => {
        backend.stop();
        environment.close();
        socket.close();
        await server?.close();
      },
    };
  }
}

export class StandinCallerCommand extends Command {
  static override paths = [['standin', 'caller']];
  static override usage = Command.Usage({
    description: 'Run callers against a service address and print their results as JSON.',
    examples: [
      [
        'Ten feeds and five reporters for 20 seconds',
        '$0 standin caller --to 127.0.0.2:5683 --service live-map --feeds 10 --reporters 5 --seconds 20',
      ],
    ],
  });

  to = Option.String('--to', { required: true });
  service = Option.String('--service', { required: true });
  name = Option.String('--name', 'caller', { description: 'Prefix of report ids' });
  feeds = Option.String('--feeds', '0', { validator: isWholeNumber });
  reporters = Option.String('--reporters', '0', { validator: isWholeNumber });
  transfers = Option.String('--transfers', '0', { validator: isWholeNumber });
  datagrams = Option.String('--datagrams', '0', { validator: isWholeNumber });
  tileBytes = Option.String('--tile-bytes', '6000', { validator: isWholeNumber });
  seconds = Option.String('--seconds', '10', { validator: isWholeNumber });

  async execute(): Promise<number> {
    try {
      const environment = createStandinEnvironment();
      const fleet = new CallerFleet(
        environment,
        parseEndpointOrThrow(this.to),
        this.service,
        this.name,
      );
      const { feeds, reporters, transfers, datagrams, tileBytes } = this;
      await fleet.start({ feeds, reporters, transfers, datagrams, tileBytes });
      await new Promise((resolve) => setTimeout(resolve, this.seconds * 1_000));
      printJson(this.context, fleet.createSummary());
      fleet.stop();
      environment.close();
      return ExitCode.done;
    } catch (error) {
      return printError(this.context, error);
    }
  }
}

export class StandinFabricCommand extends Command {
  static override paths = [['standin', 'fabric']];
  static override usage = Command.Usage({
    description: 'Run the fabric stand-in, which distributes datagrams over balancers.',
    examples: [
      [
        'One service over two balancers, each used while its /readyz succeeds',
        '$0 standin fabric --listen 127.0.0.2:5683 --balancer 127.0.1.1:5683=http://127.0.1.1:7080/readyz ' +
          '--balancer 127.0.1.2:5683=http://127.0.1.2:7080/readyz',
      ],
    ],
  });

  listen = Option.String('--listen', { required: true });
  balancers = Option.Array('--balancer', { required: true });

  async execute(): Promise<number> {
    return runUntilSignal(this.context, async () => {
      const parts = this.balancers.map((text) => text.split('='));
      const balancers = new Map(
        parts.map(([address]) => [address!, parseEndpointOrThrow(address!)]),
      );
      const healthUrls = new Map(
        parts.flatMap(([address, url]) => (url ? [[address!, url] as const] : [])),
      );
      const listen = parseEndpointOrThrow(this.listen);
      const fabric = new FabricStandin([{ name: 'service', listen, balancers }], healthUrls);
      await fabric.start();
      return { stop: async () => fabric.stop() };
    });
  }
}
