/** HTTP requests of tests that check only the status. */
import { request } from 'node:http';

/** Sends a request and resolves with the response status; 0 if the request fails. */
export function fetchStatus(
  host: string,
  port: number,
  method: string,
  path: string,
  body = '',
): Promise<number> {
  return new Promise((done) => {
    const headers = body === '' ? {} : { 'Content-Length': Buffer.byteLength(body) };
    const call = request({ host, port, method, path, headers, agent: false }, (response) => {
      response.resume();
      response.on('end', () => done(response.statusCode ?? 0));
    });
    call.on('error', () => done(0));
    call.end(body);
  });
}
