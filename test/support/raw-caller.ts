/** A caller that sends single CoAP messages into a simulation and records the answers. */
import { generateCoap, parseCoap, type CoapMessage } from '../../src/coap/coap-message';
import type { Endpoint } from '../../src/environment';
import { packEndpoint } from '../../src/core/endpoint';
import type { SimulatedBalancer } from '../../src/simulation/simulated-balancer';
import { Simulation } from '../../src/simulation/simulation';
import type { SafeguardName } from '../../src/agent/safeguards';
import { DEPLOYMENTS, addBeaconService } from '../../src/standins/deployments';

const ECHO_OPTION = 252;

/** A converged simulation of the deployment `map` without callers. */
export function createQuietSimulation(
  without: readonly SafeguardName[] = [],
  seed = 1,
): Simulation {
  const deployment = addBeaconService(DEPLOYMENTS.map);
  const simulation = new Simulation({ deployment, seed, design: 'hallhold', without });
  simulation.start();
  return simulation;
}

/** A request to send. */
export interface RawRequest {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly messageId: number;
  readonly token?: string;
  readonly echo?: Buffer | undefined;
  readonly payload?: string;
  /** Registers an observation. */
  readonly observe?: boolean;
}

/** A caller with one endpoint. */
export class RawCaller {
  readonly answers: CoapMessage[] = [];
  readonly endpoint: Endpoint;

  constructor(
    private readonly simulation: Simulation,
    private readonly service: string,
    number: number,
  ) {
    this.endpoint = packEndpoint(`10.8.0.${number}`, 40_000);
    simulation.addCaller(
      service,
      () => ({
        start: () => undefined,
        stop: () => undefined,
        receive: (datagram) => this.answers.push(parseCoap(datagram).unwrap()),
      }),
      this.endpoint,
    );
  }

  /** Sends through a random balancer or the given one; returns the datagram for {@link resend}. */
  send(request: RawRequest, through?: SimulatedBalancer): Buffer {
    const options = request.path
      .split('/')
      .map((segment) => ({ name: 'Uri-Path', value: Buffer.from(segment) }) as const);
    const observe = request.observe ? [{ name: 'Observe', value: Buffer.alloc(0) } as const] : [];
    const echo = request.echo ? [{ name: ECHO_OPTION, value: request.echo }] : [];
    const datagram = generateCoap({
      code: request.method,
      confirmable: true,
      messageId: request.messageId,
      token: Buffer.from(request.token ?? `t${request.messageId}`),
      options: [...observe, ...options, ...echo],
      payload: Buffer.from(request.payload ?? ''),
    });
    this.resend(datagram, through);
    return datagram;
  }

  /** Sends a datagram unchanged. */
  resend(datagram: Buffer, through?: SimulatedBalancer): void {
    if (through) {
      through.node.receiveDatagram(this.service, this.endpoint, datagram);
    } else {
      this.simulation.sendThroughFabric(this.service, this.endpoint, datagram);
    }
  }

  /** Runs the simulation for some time and returns the latest answer. */
  async runAndGetNewest(milliseconds: number): Promise<CoapMessage | undefined> {
    this.simulation.runUntil(this.simulation.clock.now + milliseconds);
    return this.answers[this.answers.length - 1];
  }

  /** Obtains a permit by sending a POST without one. */
  async requestPermit(messageId: number): Promise<Buffer> {
    this.send({ method: 'POST', path: 'reports', messageId, payload: 'live-map-none#0' });
    const answer = await this.runAndGetNewest(1_000);
    return answer!.options.find((option) => Number(option.name) === ECHO_OPTION)!.value;
  }
}
