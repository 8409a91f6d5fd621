/** Stand-in for the platform: an object store over HTTP and JSON, and a delayed machine list. */
import Fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify';
import { getEndpointAddress, getEndpointPort } from '../core/endpoint';
import type { Endpoint } from '../environment';
import { NODES_PATH, TABLES_PATH } from '../table-store/store-resources';
import { ObjectStore, type StoredObject, type StoreEvent, type WriteResult } from './object-store';

/** Injected faults, set by `PUT /standin/faults`. */
export interface PlatformFaults {
  /** Refuse every call with 503 and close watches. */
  down: boolean;
  /** Delay of every answer in milliseconds. */
  delay: number;
  /** Perform writes, but close the connection without an answer. */
  loseWriteAnswers: boolean;
}

/** A machine, set by `PUT /standin/machines`. */
export interface StandinMachine {
  readonly address: string;
  readonly leaving: boolean;
}

/** Options of the stand-in. */
export interface PlatformOptions {
  readonly listen: Endpoint;
  /** Delay of changes of the machine list in milliseconds. */
  readonly machineLag: number;
}

type TableDraft = Omit<StoredObject, 'metadata'> & Partial<StoredObject>;

const HTTP_OK = 200;
const HTTP_CONFLICT = 409;
const HTTP_NOT_FOUND = 404;
const HTTP_GONE = 410;
const HTTP_UNAVAILABLE = 503;

/** HTTP server of the platform stand-in. */
export class PlatformServer {
  readonly store = new ObjectStore();
  readonly faults: PlatformFaults = { down: false, delay: 0, loseWriteAnswers: false };
  private readonly machines = new Map<string, StandinMachine>();
  private readonly watchers = new Set<FastifyReply>();
  private readonly server: FastifyInstance;

  constructor(private readonly options: PlatformOptions) {
    this.server = Fastify({ forceCloseConnections: true });
    this.server.addHook('onRequest', (request, reply) => this.applyFaults(request, reply));
    this.addTableRoutes();
    this.addMachineRoutes();
    this.server.put('/standin/faults', (request) => this.setFaults(request.body));
  }

  /** Starts to listen; returns the base URL. */
  async start(): Promise<string> {
    const { listen } = this.options;
    return this.server.listen({ host: getEndpointAddress(listen), port: getEndpointPort(listen) });
  }

  async stop(): Promise<void> {
    this.closeWatches();
    await this.server.close();
  }

  /** Sets a machine's entry; the list shows it after `machineLag`. */
  setMachine(machine: StandinMachine): void {
    setTimeout(() => this.machines.set(machine.address, machine), this.options.machineLag).unref();
  }

  private addTableRoutes(): void {
    this.server.get(TABLES_PATH, (request, reply) => this.listOrWatch(request, reply));
    this.server.get(`${TABLES_PATH}/:name`, (request, reply) => {
      const object = this.store.get(getName(request));
      return object ?? reply.code(HTTP_NOT_FOUND).send(createStatusBody('NotFound'));
    });
    this.server.post(TABLES_PATH, (request, reply) => {
      const draft = request.body as TableDraft;
      return this.sendWriteResult(reply, this.store.create(draft.metadata?.name ?? '', draft));
    });
    this.server.put(`${TABLES_PATH}/:name`, (request, reply) => {
      const draft = request.body as TableDraft;
      const version = draft.metadata?.resourceVersion;
      return this.sendWriteResult(reply, this.store.replace(getName(request), version, draft));
    });
  }

  private addMachineRoutes(): void {
    this.server.get(NODES_PATH, () => ({
      kind: 'NodeList',
      items: [...this.machines.values()].map((machine) => ({
        metadata: { name: machine.address },
        spec: { unschedulable: machine.leaving },
        status: { addresses: [{ type: 'InternalIP', address: machine.address }] },
      })),
    }));
    this.server.put('/standin/machines', (request) => {
      this.setMachine(request.body as StandinMachine);
      return { status: 'accepted' };
    });
  }

  private setFaults(body: unknown): PlatformFaults {
    Object.assign(this.faults, body);
    if (this.faults.down) {
      this.closeWatches();
    }
    return this.faults;
  }

  private async applyFaults(request: FastifyRequest, reply: FastifyReply): Promise<void> {
    if (request.url.startsWith('/standin')) {
      return;
    }
    if (this.faults.delay > 0) {
      await new Promise((resolve) => setTimeout(resolve, this.faults.delay));
    }
    if (this.faults.down) {
      await reply.code(HTTP_UNAVAILABLE).send(createStatusBody('ServiceUnavailable'));
    }
  }

  private sendWriteResult(reply: FastifyReply, result: WriteResult): FastifyReply {
    if (result.outcome === 'written' && this.faults.loseWriteAnswers) {
      reply.raw.destroy();
      return reply.hijack();
    }
    switch (result.outcome) {
      case 'written':
        return reply.code(HTTP_OK).send(result.object);
      case 'conflict':
        return reply.code(HTTP_CONFLICT).send(createStatusBody('Conflict'));
      case 'not-found':
        return reply.code(HTTP_NOT_FOUND).send(createStatusBody('NotFound'));
    }
  }

  private listOrWatch(request: FastifyRequest, reply: FastifyReply): FastifyReply {
    const query = request.query as { watch?: string; resourceVersion?: string };
    if (query.watch === undefined) {
      const metadata = { resourceVersion: String(this.store.revision) };
      return reply.send({ kind: 'TableList', metadata, items: this.store.list() });
    }
    const missed = this.store.listChangesSince(Number(query.resourceVersion ?? 0));
    if (!missed) {
      return reply.code(HTTP_GONE).send(createStatusBody('Expired'));
    }
    this.streamChanges(reply, missed);
    return reply.hijack();
  }

  private streamChanges(reply: FastifyReply, missed: readonly StoreEvent[]): void {
    reply.raw.writeHead(HTTP_OK, { 'content-type': 'application/json' });
    reply.raw.flushHeaders();
    const write = (event: StoreEvent): void => {
      reply.raw.write(`${JSON.stringify({ type: event.type, object: event.object })}\n`);
    };
    missed.forEach(write);
    const unsubscribe = this.store.subscribe(write);
    this.watchers.add(reply);
    reply.raw.on('close', () => {
      unsubscribe();
      this.watchers.delete(reply);
    });
  }

  private closeWatches(): void {
    this.watchers.forEach((watcher) => watcher.raw.destroy());
  }
}

function getName(request: FastifyRequest): string {
  return (request.params as { name: string }).name;
}

function createStatusBody(reason: string): unknown {
  return { kind: 'Status', status: 'Failure', reason };
}
