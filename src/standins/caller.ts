/** Interface and base class of the caller stand-ins. */
import { CoapClient } from './coap-client';
import type { CoapMessage } from '../coap/coap-message';
import type { Environment } from '../environment';
import type { CallerStatistics } from './caller-statistics';
import { FlowJudge } from './flow-judge';
import type { RunRecord } from './run-record';

/** Environment, destination and result collectors of a caller. */
export interface CallerContext {
  readonly environment: Environment;
  readonly statistics: CallerStatistics;
  readonly record: RunRecord;
  /** Service to which the caller sends. */
  readonly service: string;
  /** Sends on the caller's own socket. */
  send(datagram: Buffer): void;
}

/** A caller with one flow. */
export interface Caller {
  start(): void;
  receive(datagram: Buffer): void;
  stop(): void;
}

/** A caller that uses CoAP on its flow. */
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

  /** Handles a message that answers no request; rejects it unless overridden. */
  protected handleNotification(message: CoapMessage): void {
    this.client.respond(message, 'reset');
  }
}
