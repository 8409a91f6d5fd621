/** Serves a back-end stand-in's run record over HTTP, for tests with separate processes. */
import Fastify, { type FastifyInstance } from 'fastify';
import { getEndpointAddress, getEndpointPort } from '../core/endpoint';
import type { Endpoint } from '../environment';
import type { RunRecord } from './run-record';

/** Serves `GET /runs`: the attempts that ran, as `{ attempts: string[] }`. */
export async function startRecordServer(
  listen: Endpoint,
  record: RunRecord,
): Promise<FastifyInstance> {
  const server = Fastify({ forceCloseConnections: true });
  server.get('/runs', () => ({ attempts: record.listAttemptsRun() }));
  await server.listen({ host: getEndpointAddress(listen), port: getEndpointPort(listen) });
  return server;
}
