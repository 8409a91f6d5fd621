/** Looks whether anybody listens at a target's address, over TCP, without a request. */
import { connect } from 'node:net';
import { getEndpointAddress, getEndpointPort } from '../core/endpoint';
import type { Endpoint } from '../environment';
import type { TargetProbePort } from '../packets/startup/target-presence';

/** Milliseconds: on its own machine an answer comes at once; none within this proves nothing. */
const CONNECT_TIMEOUT_MS = 500;
const CONNECTION_REFUSED = 'ECONNREFUSED';

/** The probe of one target. */
export class TcpTargetProbe implements TargetProbePort {
  constructor(private readonly target: Endpoint) {}

  checkVacant(answer: (isVacant: boolean) => void): void {
    const address = { host: getEndpointAddress(this.target), port: getEndpointPort(this.target) };
    const connection = connect({ ...address, timeout: CONNECT_TIMEOUT_MS });
    let answered = false;
    const end = (isVacant: boolean): void => {
      connection.destroy();
      if (!answered) {
        answered = true;
        answer(isVacant);
      }
    };
    connection.on('connect', () => end(false));
    // A process that was held up sees its timer before the answer that has come meanwhile.
    connection.on('timeout', () => setImmediate(() => end(false)));
    connection.on('error', (error: NodeJS.ErrnoException) =>
      end(error.code === CONNECTION_REFUSED),
    );
  }
}
