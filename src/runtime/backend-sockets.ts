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

/** Maximum datagrams of a flow that are queued until its socket is bound. */
const MAXIMUM_QUEUED_DATAGRAMS = 16;

interface FlowSocket {
  socket: UdpSocket | undefined;
  queued: Buffer[];
  closed: boolean;
  /** Resolves when the socket is bound or binding has failed. */
  bound: Promise<void>;
}

/** One shared socket for coap services, one socket per flow for datagram services. */
export class BackendSockets implements BackendPort {
  private sharedSocket: UdpSocket | undefined;
  private receiver: BackendReceiver | undefined;
  private readonly flowSockets = new Map<Endpoint, FlowSocket>();

  constructor(private readonly backend: Endpoint) {}

  /** Binds the shared socket; with `state`, also the ports of the predecessor's sockets. */
  async open(receiver: BackendReceiver, state?: SocketState): Promise<void> {
    this.receiver = receiver;
    const bound = await UdpSocket.bind(
      this.getLocalAddress(),
      state?.sharedPort ?? 0,
      (payload) => receiver.receiveBackendMessage(payload),
      true,
    );
    if (bound.err) {
      throw bound.val;
    }
    this.sharedSocket = bound.val;
    const flowPorts = state?.flowPorts ?? [];
    await Promise.all(flowPorts.map(({ caller, port }) => this.openFlow(caller, port).bound));
  }

  /** Local ports, for a successor. */
  exportState(): SocketState {
    const flowPorts = [...this.flowSockets].flatMap(([caller, { socket }]) =>
      socket ? [{ caller, port: getEndpointPort(socket.endpoint) }] : [],
    );
    return {
      sharedPort: this.sharedSocket ? getEndpointPort(this.sharedSocket.endpoint) : 0,
      flowPorts,
    };
  }

  sendMessage(message: Buffer): void {
    this.sharedSocket?.send(this.backend, message);
  }

  sendDatagram(caller: Endpoint, payload: Buffer): void {
    const flow = this.flowSockets.get(caller) ?? this.openFlow(caller);
    if (flow.socket) {
      flow.socket.send(this.backend, payload);
    } else if (flow.queued.length < MAXIMUM_QUEUED_DATAGRAMS) {
      flow.queued.push(payload);
    }
  }

  closeFlow(caller: Endpoint): void {
    const flow = this.flowSockets.get(caller);
    if (flow) {
      flow.closed = true;
      flow.socket?.close();
      this.flowSockets.delete(caller);
    }
  }

  close(): void {
    this.sharedSocket?.close();
    [...this.flowSockets.keys()].forEach((caller) => this.closeFlow(caller));
  }

  private openFlow(caller: Endpoint, port = 0): FlowSocket {
    const flow: FlowSocket = {
      socket: undefined,
      queued: [],
      closed: false,
      bound: Promise.resolve(),
    };
    this.flowSockets.set(caller, flow);
    flow.bound = this.bindFlow(caller, flow, port);
    return flow;
  }

  private async bindFlow(caller: Endpoint, flow: FlowSocket, port: number): Promise<void> {
    const bound = await UdpSocket.bind(
      this.getLocalAddress(),
      port,
      (payload) => this.receiver?.receiveBackendDatagram(caller, payload),
      true,
    );
    if (bound.err) {
      this.flowSockets.delete(caller);
      return;
    }
    if (flow.closed) {
      bound.val.close();
      return;
    }
    flow.socket = bound.val;
    flow.queued.forEach((payload) => bound.val.send(this.backend, payload));
    flow.queued = [];
  }

  /** The back end's own address, since it runs on the agent's machine. */
  private getLocalAddress(): string {
    return getEndpointAddress(this.backend);
  }
}
