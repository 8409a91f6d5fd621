/**
 * Hands a running agent over to its successor on the same machine, over TCP.
 *
 * Records are a type byte, a length of 4 bytes and a body. The predecessor sends its
 * snapshot and from then on forwards every datagram it still receives; the successor
 * binds the same addresses and sends `ready`; the predecessor shuts down and sends `go`;
 * only then the successor becomes active. If either side dies before `go`, the other one
 * is the only agent.
 */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { deserialize, serialize } from 'bson';
import type { AgentSnapshot } from '../agent/agent-snapshot';
import { getEndpointAddress, getEndpointPort } from '../core/endpoint';
import type { Endpoint } from '../environment';
import { HallholdError, getErrorMessage } from '../errors/hallhold-error';
import { ResultCodes } from '../errors/result-codes';

const RecordType = { snapshot: 1, datagram: 2, ready: 3, go: 4 } as const;
const HEADER_BYTES = 5;
const NO_BODY = Buffer.alloc(0);
const HANDOVER_TIMEOUT_MS = 5_000;

/** Local ports that the successor must bind. */
export interface SocketState {
  /** Port towards the back end of a coap service. */
  readonly sharedPort: number;
  /** Port of each flow of a datagram service. */
  readonly flowPorts: readonly { readonly caller: Endpoint; readonly port: number }[];
}

/** The state that the successor receives. */
export interface HandoverState {
  readonly snapshot: AgentSnapshot;
  readonly sockets: SocketState;
}

/** A datagram that reached the predecessor after its snapshot. */
export interface ForwardedDatagram {
  readonly kind: 'frame' | 'backend' | 'flow';
  /** Sender of a frame; caller of a flow. */
  readonly endpoint: Endpoint;
  readonly payload: Buffer;
}

/** Actions of the predecessor during a handover. */
export interface Predecessor {
  /** Stops the node and returns its state; later datagrams are given to `forward`. */
  beginHandover(forward: (datagram: ForwardedDatagram) => void): HandoverState;
  /** Shuts down, as the successor is ready. Resolves when the addresses are free. */
  completeHandover(): Promise<void>;
  /** Resumes operation, as the successor has disconnected. */
  resume(): void;
}

function encodeRecord(type: number, body: Buffer): Buffer {
  const header = Buffer.alloc(HEADER_BYTES);
  header[0] = type;
  header.writeUInt32BE(body.length, 1);
  return Buffer.concat([header, body]);
}

function readRecords(socket: Socket, handle: (type: number, body: Buffer) => void): void {
  let pending = NO_BODY;
  socket.on('data', (data: Buffer) => {
    pending = Buffer.concat([pending, data]);
    while (pending.length >= HEADER_BYTES) {
      const end = HEADER_BYTES + pending.readUInt32BE(1);
      if (pending.length < end) {
        return;
      }
      const [type, body] = [pending[0]!, pending.subarray(HEADER_BYTES, end)];
      pending = pending.subarray(end);
      handle(type, body);
    }
  });
}

/** Listens for a successor; one handover at a time. */
export class HandoverServer {
  private readonly server: Server;
  private busy = false;

  constructor(private readonly predecessor: Predecessor) {
    this.server = createServer((socket) => this.serve(socket));
  }

  start(listen: Endpoint): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', (error) => {
        reject(new HallholdError(ResultCodes.addressInUse, getErrorMessage(error)));
      });
      this.server.listen(getEndpointPort(listen), getEndpointAddress(listen), resolve);
    });
  }

  stop(): void {
    this.server.close();
  }

  private serve(socket: Socket): void {
    if (this.busy) {
      socket.destroy();
      return;
    }
    this.busy = true;
    let isSuccessorReady = false;
    const forward = (datagram: ForwardedDatagram): void => {
      socket.write(encodeRecord(RecordType.datagram, Buffer.from(serialize(datagram))));
    };
    socket.on('error', () => undefined);
    socket.on('close', () => {
      this.busy = false;
      if (!isSuccessorReady) {
        this.predecessor.resume();
      }
    });
    readRecords(socket, (type) => {
      if (type === RecordType.ready && !isSuccessorReady) {
        isSuccessorReady = true;
        void this.finish(socket);
      }
    });
    const state = this.predecessor.beginHandover(forward);
    socket.write(encodeRecord(RecordType.snapshot, Buffer.from(serialize(state))));
  }

  /** Frees this server's own address too, then activates the successor. */
  private async finish(socket: Socket): Promise<void> {
    this.server.close();
    await this.predecessor.completeHandover();
    socket.end(encodeRecord(RecordType.go, NO_BODY));
  }
}

/** Actions of the successor on the records it receives. */
export interface Successor {
  /** Binds the addresses; nothing is sent yet. */
  prepare(state: HandoverState): Promise<void>;
  /** Becomes the active agent. */
  activate(): void;
  /** Handles a datagram that the predecessor received. */
  receive(datagram: ForwardedDatagram): void;
}

/**
 * Takes over from the predecessor at `address`.
 * Rejects with error 1403 when there is none or it does not finish in time.
 */
export function takeOver(address: Endpoint, successor: Successor): Promise<void> {
  return new Promise((resolve, reject) => {
    const fail = (reason: string): void => {
      socket.destroy();
      reject(new HallholdError(ResultCodes.handoverFailed, reason));
    };
    const socket = connect(getEndpointPort(address), getEndpointAddress(address));
    const timer = setTimeout(
      () => fail(`the predecessor did not finish within ${HANDOVER_TIMEOUT_MS} ms`),
      HANDOVER_TIMEOUT_MS,
    );
    const queued: ForwardedDatagram[] = [];
    let isActive = false;
    socket.on('error', (error) => fail(getErrorMessage(error)));
    socket.on('close', () => {
      clearTimeout(timer);
      if (!isActive) {
        fail('the predecessor closed the connection before the handover was complete');
      }
    });
    readRecords(socket, (type, body) => {
      if (type === RecordType.snapshot) {
        const state = deserialize(body, { promoteBuffers: true }) as HandoverState;
        successor.prepare(state).then(
          () => socket.write(encodeRecord(RecordType.ready, NO_BODY)),
          (error: unknown) => fail(getErrorMessage(error)),
        );
      } else if (type === RecordType.datagram) {
        queued.push(deserialize(body, { promoteBuffers: true }) as ForwardedDatagram);
      } else if (type === RecordType.go) {
        isActive = true;
        clearTimeout(timer);
        successor.activate();
        queued.forEach((datagram) => successor.receive(datagram));
        resolve();
      }
    });
  });
}
