/** Serves a balancer's snapshot to other balancers over HTTP, and fetches theirs. */
import { createServer, get, type Server, type ServerResponse } from 'node:http';
import { deflateSync, inflateSync } from 'node:zlib';
import { getEndpointAddress, getEndpointPort } from '../core/endpoint';
import type { Endpoint } from '../environment';
import { createFailure, getErrorMessage, type HallholdError } from '../errors/hallhold-error';
import { ResultCodes } from '../errors/result-codes';
import type { ResultCallback } from '../packets/collection-port';
import type { SnapshotPort } from '../packets/peer-exchange';
import {
  decodeSnapshotText,
  encodeSnapshot,
  encodeSnapshotText,
  type PeerSnapshot,
} from '../packets/peer-snapshot';
import type { Result } from 'ts-results';

/** Snapshots in BSON, for balancers of earlier versions. */
const BSON_PATH = '/snapshot';
/** Snapshots as deflate-compressed text. */
const TEXT_PATH = '/snapshot/text';
const FETCH_TIMEOUT_MS = 1_000;
const MAXIMUM_SNAPSHOT_BYTES = 16 * 1_024 * 1_024;
/**
 * Time for which an encoded snapshot is reused: balancers that start together fetch it within some
 * tens of milliseconds, and each encoding takes 20 ms.
 */
const REUSE_TIME_MS = 50;

/** Cache of the encoded snapshot. */
class EncodedSnapshot {
  private bytes: Buffer | undefined;
  private encodedAt = -Infinity;

  constructor(private readonly read: () => PeerSnapshot) {}

  encode(): Buffer {
    const now = performance.now();
    if (!this.bytes || now - this.encodedAt > REUSE_TIME_MS) {
      this.bytes = deflateSync(encodeSnapshotText(this.read()));
      this.encodedAt = now;
    }
    return this.bytes;
  }
}

/** Serves snapshots at an address; `onError` is called when it cannot listen. */
export function serveSnapshots(
  address: Endpoint,
  read: () => PeerSnapshot,
  onError: (error: Error) => void,
): Server {
  const encoded = new EncodedSnapshot(read);
  const server = createServer((call, response) => {
    switch (call.url) {
      case TEXT_PATH:
        sendAnswer(response, 200, encoded.encode());
        return;
      case BSON_PATH:
        sendAnswer(response, 200, encodeSnapshot(read()));
        return;
      default:
        sendAnswer(response, 404, undefined);
    }
  });
  server.on('error', onError);
  return server.listen(getEndpointPort(address), getEndpointAddress(address));
}

function sendAnswer(response: ServerResponse, status: number, body: Buffer | undefined): void {
  response.writeHead(status, { Connection: 'close' });
  response.end(body);
}

/** Fetches snapshots of other balancers as text, which earlier versions do not serve; error 1404. */
export class HttpSnapshots implements SnapshotPort {
  fetch(peer: Endpoint, answer: ResultCallback<PeerSnapshot>): void {
    let answered = false;
    const fail = (error: Error): void => {
      clearTimeout(timer);
      if (!answered) {
        answered = true;
        answer(createFailure(ResultCodes.peerUnreachable, error.message));
      }
    };
    const target = { host: getEndpointAddress(peer), port: getEndpointPort(peer), path: TEXT_PATH };
    const call = get({ ...target, agent: false }, (response) => {
      const chunks: Buffer[] = [];
      let length = 0;
      response.on('data', (chunk: Buffer) => {
        chunks.push(chunk);
        length += chunk.length;
        if (length > MAXIMUM_SNAPSHOT_BYTES) {
          call.destroy(new Error(`the snapshot exceeds ${MAXIMUM_SNAPSHOT_BYTES} bytes`));
        }
      });
      response.on('error', fail);
      response.on('end', () => {
        clearTimeout(timer);
        if (!answered) {
          answered = true;
          answer(inflateSnapshot(Buffer.concat(chunks)));
        }
      });
    });
    const timer = setTimeout(() => call.destroy(new Error('no answer in time')), FETCH_TIMEOUT_MS);
    call.on('error', fail);
  }
}

/** Error 1303 for bytes that are no valid snapshot, or exceed the size limit. */
function inflateSnapshot(bytes: Buffer): Result<PeerSnapshot, HallholdError> {
  let text: string;
  try {
    text = inflateSync(bytes, { maxOutputLength: MAXIMUM_SNAPSHOT_BYTES }).toString('utf8');
  } catch (error) {
    return createFailure(ResultCodes.frameMalformed, getErrorMessage(error));
  }
  return decodeSnapshotText(text);
}
