/** An agent's sockets towards its back end. */
import type { BackendPort } from '../agent/agent-context';
import type { Endpoint } from '../environment';
import { endpointAddress } from '../core/endpoint';
import { UdpSocket } from './udp-socket';

/** Receives what the back end sends. */
export interface BackendReceiver {
  receiveBackendMessage(datagram: Buffer): void;
  receiveBackendDatagram(caller: Endpoint, payload: Buffer): void;
}

/** Datagrams of a flow that wait for its socket to be bound. */
const WAITING_MAXIMUM = 16;

interface FlowSocket {
  socket: UdpSocket | undefined;
  waiting: Buffer[];
  closed: boolean;
}

/** One shared socket for coap services, one a flow for datagram services. */
export class BackendSockets implements BackendPort {
  private shared: UdpSocket | undefined;
  private receiver: BackendReceiver | undefined;
  private readonly flows = new Map<Endpoint, FlowSocket>();

  constructor(private readonly backend: Endpoint) {}

  /** Binds the shared socket. */
  async open(receiver: BackendReceiver): Promise<void> {
    this.receiver = receiver;
    const bound = await UdpSocket.bind(this.localAddress(), 0, (payload) =>
      receiver.receiveBackendMessage(payload),
    );
    this.shared = bound.unwrap();
  }

  sendMessage(message: Buffer): void {
    this.shared?.send(this.backend, message);
  }

  sendDatagram(caller: Endpoint, payload: Buffer): void {
    const flow = this.flows.get(caller) ?? this.openFlow(caller);
    if (flow.socket) {
      flow.socket.send(this.backend, payload);
    } else if (flow.waiting.length < WAITING_MAXIMUM) {
      flow.waiting.push(payload);
    }
  }

  closeFlow(caller: Endpoint): void {
    const flow = this.flows.get(caller);
    if (flow) {
      flow.closed = true;
      flow.socket?.close();
      this.flows.delete(caller);
    }
  }

  close(): void {
    this.shared?.close();
    [...this.flows.keys()].forEach((caller) => this.closeFlow(caller));
  }

  private openFlow(caller: Endpoint): FlowSocket {
    const flow: FlowSocket = { socket: undefined, waiting: [], closed: false };
    this.flows.set(caller, flow);
    void this.bindFlow(caller, flow);
    return flow;
  }

  private async bindFlow(caller: Endpoint, flow: FlowSocket): Promise<void> {
    const bound = await UdpSocket.bind(this.localAddress(), 0, (payload) =>
      this.receiver?.receiveBackendDatagram(caller, payload),
    );
    if (bound.err) {
      this.flows.delete(caller);
      return;
    }
    if (flow.closed) {
      bound.val.close();
      return;
    }
    flow.socket = bound.val;
    flow.waiting.forEach((payload) => bound.val.send(this.backend, payload));
    flow.waiting = [];
  }

  /** The back end runs on the agent's machine: the same address serves. */
  private localAddress(): string {
    return endpointAddress(this.backend);
  }
}
