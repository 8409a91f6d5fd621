/** An agent's sockets towards its back end. */
import type { BackendPort } from '../agent/agent-context';
import type { Endpoint } from '../environment';
import { getEndpointAddress, getEndpointPort } from '../core/endpoint';
import type { SocketState } from './agent-handover';
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
  /** Settles when the socket is bound or could not be. */
  bound: Promise<void>;
}

/** One shared socket for coap services, one a flow for datagram services. */
export class BackendSockets implements BackendPort {
  private shared: UdpSocket | undefined;
  private receiver: BackendReceiver | undefined;
  private readonly flows = new Map<Endpoint, FlowSocket>();

  constructor(private readonly backend: Endpoint) {}

  /** Binds the shared socket; with `state`, all the sockets that a predecessor had. */
  async open(receiver: BackendReceiver, state?: SocketState): Promise<void> {
    this.receiver = receiver;
    const bound = await UdpSocket.bind(
      this.localAddress(),
      state?.sharedPort ?? 0,
      (payload) => receiver.receiveBackendMessage(payload),
      true,
    );
    if (bound.err) {
      throw bound.val;
    }
    this.shared = bound.val;
    const flows = state?.flowPorts ?? [];
    await Promise.all(flows.map(({ caller, port }) => this.openFlow(caller, port).bound));
  }

  /** Local ports, for a successor. */
  exportState(): SocketState {
    const flowPorts = [...this.flows].flatMap(([caller, { socket }]) =>
      socket ? [{ caller, port: getEndpointPort(socket.endpoint) }] : [],
    );
    return { sharedPort: this.shared ? getEndpointPort(this.shared.endpoint) : 0, flowPorts };
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

  private openFlow(caller: Endpoint, port = 0): FlowSocket {
    const flow: FlowSocket = {
      socket: undefined,
      waiting: [],
      closed: false,
      bound: Promise.resolve(),
    };
    this.flows.set(caller, flow);
    flow.bound = this.bindFlow(caller, flow, port);
    return flow;
  }

  private async bindFlow(caller: Endpoint, flow: FlowSocket, port: number): Promise<void> {
    const bound = await UdpSocket.bind(
      this.localAddress(),
      port,
      (payload) => this.receiver?.receiveBackendDatagram(caller, payload),
      true,
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
    return getEndpointAddress(this.backend);
  }
}
