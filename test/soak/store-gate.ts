/** One machine's proxy to the store, which forwards calls or injects a kind of failure. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { ObjectApiStandin } from '../support/object-api-standin';

const SLOW_DELAY_MS = 400;
const LATE_WRITE_DELAY_MS = 900;

/** Treatment of calls. */
export const GateModes = [
  'serving',
  'unavailable',
  'throttled',
  'reset',
  'silent',
  'slow',
  'answers lost',
  'writes late',
] as const;
export type GateMode = (typeof GateModes)[number];

type Treatment = (gate: StoreGate, call: IncomingMessage, response: ServerResponse) => void;

const TREATMENTS: Readonly<Record<GateMode, Treatment>> = {
  serving: (gate, call, response) => gate.store.handleCall(call, response),
  unavailable: (_gate, call, response) => sendError(call, response, 503),
  throttled: (_gate, call, response) => sendError(call, response, 429),
  reset: (_gate, call) => call.socket.resetAndDestroy(),
  silent: (_gate, call) => void call.resume(),
  slow: (gate, call, response) =>
    void setTimeout(() => gate.store.handleCall(call, response), SLOW_DELAY_MS).unref(),
  'answers lost': (gate, call, response) => {
    response.end = () => response;
    gate.store.handleCall(call, response);
  },
  'writes late': (gate, call, response) => {
    const isWrite = call.method !== 'GET';
    response.end = isWrite ? () => response : response.end;
    setTimeout(
      () => gate.store.handleCall(call, response),
      isWrite ? LATE_WRITE_DELAY_MS : 0,
    ).unref();
  },
};

function sendError(call: IncomingMessage, response: ServerResponse, status: number): void {
  call.resume();
  response.writeHead(status, { 'Content-Type': 'application/json' });
  response.end('{}');
}

/** HTTP server through which one machine reaches the store. */
export class StoreGate {
  private mode: GateMode = 'serving';
  private readonly server: Server;

  constructor(readonly store: ObjectApiStandin) {
    this.server = createServer((call, response) => TREATMENTS[this.mode](this, call, response));
  }

  async start(): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Changes the treatment and closes all connections, with their pending calls. */
  setMode(mode: GateMode): void {
    this.mode = mode;
    this.server.closeAllConnections();
  }

  stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }
}
