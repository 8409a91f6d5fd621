/** One HTTP call of a test, of which only the status matters. */
import { request } from 'node:http';

/** The status of the answer; 0 when nobody answers. */
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
