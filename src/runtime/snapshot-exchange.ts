/** Hands a balancer's snapshot to other balancers over HTTP, and fetches theirs. */
import { createServer, get, type Server } from 'node:http';
import { endpointAddress, endpointPort } from '../core/endpoint';
import type { Endpoint } from '../environment';
import { failure } from '../errors/hallhold-error';
import { ResultCodes } from '../errors/result-codes';
import type { Answer } from '../packets/collection-port';
import type { SnapshotPort } from '../packets/peer-exchange';
import { decodeSnapshot, encodeSnapshot, type PeerSnapshot } from '../packets/peer-snapshot';

const SNAPSHOT_PATH = '/snapshot';
const FETCH_TIMEOUT = 1_000;
const MAXIMUM_SNAPSHOT_BYTES = 16 * 1_024 * 1_024;

/** Serves snapshots at an address; `failed` is called when it cannot listen. */
export function serveSnapshots(
  address: Endpoint,
  read: () => PeerSnapshot,
  failed: (error: Error) => void,
): Server {
  const server = createServer((call, response) => {
    const known = call.url === SNAPSHOT_PATH;
    response.writeHead(known ? 200 : 404, { Connection: 'close' });
    response.end(known ? encodeSnapshot(read()) : undefined);
  });
  server.on('error', failed);
  return server.listen(endpointPort(address), endpointAddress(address));
}

/** Fetches snapshots of other balancers. */
export class HttpSnapshots implements SnapshotPort {
  fetch(peer: Endpoint, answer: Answer<PeerSnapshot>): void {
    let answered = false;
    const fail = (error: Error): void => {
      clearTimeout(timer);
      if (!answered) {
        answered = true;
        answer(failure(ResultCodes.peerUnreachable, error.message));
      }
    };
    const target = { host: endpointAddress(peer), port: endpointPort(peer), path: SNAPSHOT_PATH };
    const call = get({ ...target, agent: false }, (response) => {
      const chunks: Buffer[] = [];
      let length = 0;
      response.on('data', (chunk: Buffer) => {
        chunks.push(chunk);
        length += chunk.length;
        if (length > MAXIMUM_SNAPSHOT_BYTES) {
          call.destroy(new Error('the snapshot is too long'));
        }
      });
      response.on('error', fail);
      response.on('end', () => {
        clearTimeout(timer);
        if (!answered) {
          answered = true;
          answer(decodeSnapshot(Buffer.concat(chunks)));
        }
      });
    });
    const timer = setTimeout(() => call.destroy(new Error('no answer in time')), FETCH_TIMEOUT);
    call.on('error', fail);
  }
}
