/** The platform's metadata store, as PROTOCOL.md and the news pages describe it. */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';

const PREFIX = '/hallhold/objects/';
const ANSWER_MS = 4;
/** `history-s` of a small deployment. */
const HISTORY_MS = 20_000;

/** One address of the store; machines that use it can be turned away while others are served. */
class Door {
  #server;
  #isShut = false;

  constructor(handle) {
    this.#server = createServer((call, response) => {
      const chunks = [];
      call.on('data', (chunk) => chunks.push(chunk));
      call.on('end', () =>
        setTimeout(() => {
          if (this.#isShut) {
            response.writeHead(503, { 'Content-Type': 'application/json', 'Store-Era': '1' });
            response.end('{}');
          } else {
            handle(call, Buffer.concat(chunks), response);
          }
        }, ANSWER_MS),
      );
    });
    this.#server.keepAliveTimeout = 0;
  }

  listen(address, port) {
    return new Promise((done) => this.#server.listen(port, address, done));
  }

  /** Turns every call away with 503 and cuts the watches that wait, or serves again. */
  setShut(isShut) {
    this.#isShut = isShut;
    if (isShut) {
      this.#server.closeAllConnections();
    }
  }

  close() {
    this.#server.closeAllConnections();
    this.#server.close();
  }
}

export class Store {
  #kinds = new Map();
  #events = [];
  #watches = new Set();
  #revision = 1;
  /** Revision up to which the history is forgotten. */
  #forgotten = 0;
  #doors = [];

  /** @param record where the calls that change something are written */
  constructor(record) {
    this.record = record;
  }

  /** Serves at an address; several machines may share it. */
  async listen(address, port) {
    const door = new Door((call, body, response) => this.#handle(call, body, response));
    await door.listen(address, port);
    this.#doors.push(door);
    return door;
  }

  close() {
    this.#doors.forEach((door) => door.close());
  }

  /** Writes an object as the operator does; returning is the acknowledgement. */
  put(kind, name, spec) {
    return this.#change(kind, name, { spec });
  }

  names(kind) {
    return [...this.#kind(kind).keys()];
  }

  #kind(kind) {
    const known = this.#kinds.get(kind) ?? new Map();
    this.#kinds.set(kind, known);
    return known;
  }

  #change(kind, name, fields) {
    const objects = this.#kind(kind);
    const before = objects.get(name);
    const rev = ++this.#revision;
    const meta = {
      name,
      rev,
      created: before?.meta.created ?? rev,
      finalizers: [],
      deleting: false,
    };
    const object = { meta, spec: before?.spec ?? null, status: before?.status ?? null, ...fields };
    objects.set(name, object);
    this.#publish(kind, object, false);
    return object;
  }

  #remove(kind, name) {
    const before = this.#kind(kind).get(name);
    this.#kind(kind).delete(name);
    const rev = ++this.#revision;
    this.#publish(kind, { ...before, meta: { ...before.meta, rev } }, true);
  }

  #publish(kind, object, gone) {
    this.#events.push({ kind, rev: this.#revision, object, gone, at: performance.now() });
    [...this.#watches].forEach((check) => check());
  }

  #handle(call, body, response) {
    const url = new URL(call.url, 'http://store');
    const [kind, name, part] = url.pathname.slice(PREFIX.length).split('/').map(decodeURIComponent);
    const send = (status, answer) => {
      response.writeHead(status, { 'Content-Type': 'application/json', 'Store-Era': '1' });
      response.end(JSON.stringify(answer));
    };
    if (!url.pathname.startsWith(PREFIX) || !kind) {
      send(404, {});
    } else if (call.method === 'GET') {
      this.#read(url, kind, name, response, send);
    } else {
      const document = body.length > 0 ? JSON.parse(body.toString('utf8')) : {};
      const status = this.#write(call.method, { kind, name, part, url, document }, send);
      this.record.write(`store: ${call.method} ${call.url} -> ${status}`);
    }
  }

  #read(url, kind, name, response, send) {
    if (name) {
      const object = this.#kind(kind).get(name);
      send(object ? 200 : 404, object ?? {});
      return;
    }
    if (url.searchParams.has('watch')) {
      this.#watch(kind, url.searchParams, response, send);
      return;
    }
    const after = url.searchParams.get('after') ?? '';
    const items = [...this.#kind(kind).values()]
      .filter(({ meta }) => meta.name > after)
      .sort((one, other) => (one.meta.name < other.meta.name ? -1 : 1));
    send(200, { items, more: false, at: this.#revision });
  }

  #watch(kind, query, response, send) {
    const after = Number(query.get('watch'));
    this.#forgetHistory();
    if (after < this.#forgotten) {
      send(410, {});
      return;
    }
    const find = () => this.#events.filter((event) => event.kind === kind && event.rev > after);
    const answer = () => {
      clearTimeout(timer);
      this.#watches.delete(check);
      const events = find().map(({ object, gone }) => ({ object, gone }));
      send(200, { events, at: this.#revision });
    };
    const check = () => find().length > 0 && answer();
    const timer = setTimeout(answer, Math.min(30_000, Number(query.get('wait-ms') ?? 0)));
    this.#watches.add(check);
    response.on('close', () => {
      clearTimeout(timer);
      this.#watches.delete(check);
    });
    check();
  }

  #forgetHistory() {
    const oldest = performance.now() - HISTORY_MS;
    while (this.#events.length > 0 && this.#events[0].at < oldest) {
      this.#forgotten = this.#events.shift().rev;
    }
  }

  #write(method, { kind, name, part, url, document }, send) {
    const objects = this.#kind(kind);
    const answer = (status, object) => {
      send(status, object ?? {});
      return status;
    };
    if (method === 'POST') {
      const created = document.meta?.name;
      return objects.has(created)
        ? answer(409, objects.get(created))
        : answer(201, this.#change(kind, created, { spec: document.spec }));
    }
    const before = objects.get(name);
    if (!before) {
      return answer(404);
    }
    const rev = url.searchParams.get('rev') ?? document.meta?.rev;
    if (rev !== undefined && rev !== null && Number(rev) !== before.meta.rev) {
      return answer(409, before);
    }
    if (method === 'DELETE') {
      this.#remove(kind, name);
      return answer(200, before);
    }
    const fields = part === 'status' ? { status: document.status } : { spec: document.spec };
    return answer(200, this.#change(kind, name, fields));
  }
}
