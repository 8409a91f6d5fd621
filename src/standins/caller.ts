/** What all callers of the stand-ins have in common. */
import { CoapClient } from './coap-client';
import type { CoapMessage } from '../coap/coap-message';
import type { Environment } from '../environment';
import type { CallerStatistics } from './caller-statistics';
import { FlowJudge } from './flow-judge';
import type { RunRecord } from './run-record';

/** What every caller needs. */
export interface CallerContext {
  readonly environment: Environment;
  readonly statistics: CallerStatistics;
  readonly record: RunRecord;
  /** The service the caller means to reach. */
  readonly service: string;
  /** Sends on the caller's own socket. */
  send(datagram: Buffer): void;
}

/** One caller: one flow. */
export interface Caller {
  start(): void;
  receive(datagram: Buffer): void;
  stop(): void;
}

/** A caller that speaks CoAP on its flow. */
export abstract class CoapCaller implements Caller {
  protected readonly client: CoapClient;
  protected readonly judge: FlowJudge;
  protected stopped = false;

  constructor(protected readonly context: CallerContext) {
    this.judge = new FlowJudge(context);
    this.client = new CoapClient(
      context.environment,
      (datagram) => context.send(datagram),
      (message) => this.handleNotification(message),
    );
  }

  abstract start(): void;

  receive(datagram: Buffer): void {
    this.client.receive(datagram);
  }

  stop(): void {
    this.stopped = true;
    this.client.close();
  }

  /** A message that answers no request of this caller; rejected unless it holds a feed. */
  protected handleNotification(message: CoapMessage): void {
    this.client.respond(message, 'reset');
  }
}
