/** Checks by a TCP connection, without a request, whether a process listens at a target's address. */
import { connect } from 'node:net';
import { getEndpointAddress, getEndpointPort } from '../core/endpoint';
import type { Endpoint } from '../environment';
import type { TargetProbePort } from '../packets/startup/target-presence';

/** The target is on the same machine and answers at once; a time-out does not prove it vacant. */
const CONNECT_TIMEOUT_MS = 500;
const CONNECTION_REFUSED = 'ECONNREFUSED';

/** The probe of one target. */
export class TcpTargetProbe implements TargetProbePort {
  constructor(private readonly target: Endpoint) {}

  checkVacant(answer: (isVacant: boolean) => void): void {
    const address = { host: getEndpointAddress(this.target), port: getEndpointPort(this.target) };
    const connection = connect({ ...address, timeout: CONNECT_TIMEOUT_MS });
    let answered = false;
    const finish = (isVacant: boolean): void => {
      connection.destroy();
      if (!answered) {
        answered = true;
        answer(isVacant);
      }
    };
    connection.on('connect', () => finish(false));
    // After a delay of the event loop the timer fires before an answer that has already arrived.
    connection.on('timeout', () => setImmediate(() => finish(false)));
    connection.on('error', (error: NodeJS.ErrnoException) =>
      finish(error.code === CONNECTION_REFUSED),
    );
  }
}
