/* global Buffer, performance, setTimeout, clearTimeout, URL */
/** A stand-in of the platform's metadata store, and a proxy before it that can let connections go silent. */
import { createServer as createHttpServer } from 'node:http';
import { connect, createServer as createTcpServer } from 'node:net';

const LISTING_PAGE = 500;

/** The store: objects by kind and name, one counter of revisions, waiting watches. */
export class Store {
  kinds = new Map();
  revision = 1;
  era = 0;
  events = [];
  watches = new Set();
  /** Returns true when it has handled a call by itself (a fault that a case plays). */
  intercept = () => false;

  async start(host, port) {
    this.server = createHttpServer((call, response) => this.handle(call, response));
    // A sound server keeps idle connections for as long as its callers want them.
    this.server.keepAliveTimeout = 0;
    this.server.requestTimeout = 0;
    await new Promise((done) => this.server.listen(port, host, done));
  }

  stop() {
    this.server?.closeAllConnections();
    this.server?.close();
  }

  /** Writes an object as the operator does; the return is the acknowledgement. */
  put(kind, name, spec) {
    const known = this.getKind(kind).get(name);
    const object = {
      meta: {
        finalizers: [],
        deleting: false,
        created: 0,
        ...known?.meta,
        name,
        rev: ++this.revision,
      },
      spec,
      status: known?.status ?? {},
    };
    this.getKind(kind).set(name, object);
    this.publish(kind, object, false);
    return object;
  }

  get(kind, name) {
    return this.getKind(kind).get(name);
  }

  getKind(kind) {
    const objects = this.kinds.get(kind) ?? new Map();
    this.kinds.set(kind, objects);
    return objects;
  }

  publish(kind, object, gone) {
    this.events.push({ kind, rev: this.revision, object, gone });
    [...this.watches].forEach((wake) => wake());
  }

  handle(call, response) {
    const chunks = [];
    call.on('data', (chunk) => chunks.push(chunk));
    call.on('end', () => {
      response.setHeader('Store-Era', String(this.era));
      const text = Buffer.concat(chunks).toString();
      if (!this.intercept(call, text, response)) {
        this.answer(call, text, response);
      }
    });
  }

  answer(call, text, response) {
    const url = new URL(call.url, 'http://store');
    const [kind, name, part] = url.pathname.replace('/hallhold/objects/', '').split('/');
    const send = (status, body) => {
      response.writeHead(status, { 'Content-Type': 'application/json' });
      response.end(JSON.stringify(body));
    };
    if (call.method === 'GET') {
      this.read(kind, name, url.searchParams, send, response);
      return;
    }
    const { status, body } = this.write(call.method, kind, name, part, url.searchParams, text);
    send(status, body);
  }

  read(kind, name, query, send, response) {
    if (name !== undefined) {
      const known = this.get(kind, name);
      send(known ? 200 : 404, known ?? {});
    } else if (query.has('watch')) {
      this.watch(kind, Number(query.get('watch')), Number(query.get('wait-ms')), send, response);
    } else {
      const after = query.get('after') ?? '';
      const names = [...this.getKind(kind).keys()].sort().filter((one) => one > after);
      const page = names.slice(0, LISTING_PAGE);
      const items = page.map((one) => this.get(kind, one));
      send(200, { items, more: names.length > page.length, at: this.revision });
    }
  }

  watch(kind, after, wait, send, response) {
    const list = () =>
      this.events
        .filter((event) => event.kind === kind && event.rev > after)
        .map(({ object, gone }) => ({ object, gone }));
    const finish = () => {
      clearTimeout(timer);
      this.watches.delete(wake);
      send(200, { events: list(), at: this.revision });
    };
    const wake = () => list().length > 0 && finish();
    const timer = setTimeout(finish, Math.min(wait, 30_000));
    this.watches.add(wake);
    response.on('close', () => {
      clearTimeout(timer);
      this.watches.delete(wake);
    });
    wake();
  }

  /** Applies a writing call; one that changes nothing raises no revision. */
  write(method, kind, pathName, part, query, text) {
    const body = text === '' ? {} : JSON.parse(text);
    const name = pathName ?? body.meta?.name;
    const known = this.get(kind, name);
    const wanted = query.has('rev') ? Number(query.get('rev')) : body.meta?.rev;
    if (method === 'POST' && known) {
      return { status: 409, body: known };
    }
    if (method !== 'POST' && !known) {
      return { status: 404, body: {} };
    }
    if (known && wanted !== undefined && wanted !== known.meta.rev) {
      return { status: 409, body: known };
    }
    if (method === 'DELETE') {
      this.getKind(kind).delete(name);
      this.revision++;
      this.publish(kind, { ...known, meta: { ...known.meta, rev: this.revision } }, true);
      return { status: 200, body: known };
    }
    const isStatus = part === 'status';
    const next = isStatus
      ? { ...known, status: body.status ?? body }
      : {
          meta: {
            created: 0,
            deleting: false,
            ...known?.meta,
            name,
            finalizers: body.meta?.finalizers ?? [],
          },
          spec: body.spec,
          status: known?.status ?? {},
        };
    if (known && JSON.stringify(next) === JSON.stringify(known)) {
      return { status: 200, body: known };
    }
    next.meta = { ...next.meta, rev: ++this.revision };
    this.getKind(kind).set(name, next);
    this.publish(kind, next, false);
    return { status: method === 'POST' ? 201 : 200, body: next };
  }
}

/** Forwards TCP connections to the store. A silent one carries nothing any more, and is not closed. */
export class StoreProxy {
  connections = new Set();

  async start(host, port, storeHost, storePort) {
    this.server = createTcpServer((client) => this.join(client, connect(storePort, storeHost)));
    await new Promise((done) => this.server.listen(port, host, done));
  }

  join(client, store) {
    const connection = { client, store, usedAt: performance.now(), isSilent: false, call: '' };
    this.connections.add(connection);
    for (const [from, to] of [
      [client, store],
      [store, client],
    ]) {
      from.on('data', (bytes) => {
        if (connection.isSilent) {
          return;
        }
        connection.usedAt = performance.now();
        if (from === client) {
          connection.call = bytes.toString('latin1').split('\r\n')[0];
        }
        to.write(bytes);
      });
      from.on('error', () => undefined);
      from.on('close', () => {
        this.connections.delete(connection);
        if (!connection.isSilent) {
          to.destroy();
        }
      });
    }
  }

  /** Lets the connections go silent that nothing has passed for a time; returns what they were last used for. */
  silenceQuiet(milliseconds) {
    const limit = performance.now() - milliseconds;
    const chosen = [...this.connections].filter((one) => !one.isSilent && one.usedAt <= limit);
    chosen.forEach((one) => (one.isSilent = true));
    return chosen.map(({ call }) => call);
  }

  listOpen() {
    return [...this.connections].filter((one) => !one.isSilent).map(({ call }) => call);
  }

  stop() {
    this.server?.close();
    for (const { client, store } of this.connections) {
      client.destroy();
      store.destroy();
    }
  }
}
