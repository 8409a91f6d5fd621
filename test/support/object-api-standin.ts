/** A small stand-in of the platform's object API over HTTP, with fault injection. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

interface Stored {
  readonly meta: { readonly name: string; readonly rev: number };
  readonly spec: unknown;
}

interface Event {
  readonly kind: string;
  readonly rev: number;
  readonly object: Stored;
  readonly gone: boolean;
}

type SendAnswer = (status: number, body: unknown) => void;

/** Injects a fault into a call; returns true when it has handled the call itself. */
export type FaultInjector = (call: IncomingMessage, response: ServerResponse) => boolean;

/** A backup of the store's objects. */
export interface StoreBackup {
  readonly revision: number;
  readonly objects: ReadonlyMap<string, ReadonlyMap<string, Stored>>;
}

/** The stand-in. */
export class ObjectApiStandin {
  faultInjector: FaultInjector | undefined;
  readonly calls: string[] = [];
  private readonly objects = new Map<string, Map<string, Stored>>();
  private readonly events: Event[] = [];
  private readonly watches = new Set<() => void>();
  private revision = 1;
  private era = 1;
  private compactedThrough = 0;
  private server: Server | undefined;

  async start(): Promise<string> {
    const server = createServer((call, response) => this.handleCall(call, response));
    this.server = server;
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    return this.address;
  }

  /** The address on which it listens. */
  get address(): string {
    return `127.0.0.1:${(this.server!.address() as AddressInfo).port}`;
  }

  stop(): void {
    this.server?.closeAllConnections();
    this.server?.close();
  }

  /** Writes an object as its owner. */
  put(kind: string, name: string, spec: unknown): void {
    const object = { meta: { name, rev: ++this.revision }, spec };
    this.getKind(kind).set(name, object);
    this.publish({ kind, rev: this.revision, object, gone: false });
  }

  /** Stores any value under a name, as another program may do. */
  putRaw(kind: string, name: string, object: unknown): void {
    this.revision++;
    this.getKind(kind).set(name, object as Stored);
    this.publish({ kind, rev: this.revision, object: object as Stored, gone: false });
  }

  /** Removes an existing object. */
  remove(kind: string, name: string): void {
    const object = this.getKind(kind).get(name)!;
    this.getKind(kind).delete(name);
    this.publish({ kind, rev: ++this.revision, object, gone: true });
  }

  get(kind: string, name: string): unknown {
    return this.getKind(kind).get(name)?.spec;
  }

  private getKind(kind: string): Map<string, Stored> {
    const objects = this.objects.get(kind) ?? new Map<string, Stored>();
    this.objects.set(kind, objects);
    return objects;
  }

  private publish(event: Event): void {
    this.events.push(event);
    this.watches.forEach((wake) => wake());
  }

  /** Compacts the history: watches of earlier revisions get 410 from now on. */
  compactHistory(): void {
    this.compactedThrough = this.revision;
    this.watches.forEach((wake) => wake());
  }

  /** A backup of all objects. */
  createBackup(): StoreBackup {
    const objects = new Map([...this.objects].map(([kind, stored]) => [kind, new Map(stored)]));
    return { revision: this.revision, objects };
  }

  /** Restores a backup: later writes are lost, and their revisions are issued again. */
  restoreFrom({ revision, objects }: StoreBackup): void {
    this.era++;
    this.revision = this.compactedThrough = revision;
    this.events.length = 0;
    this.objects.clear();
    objects.forEach((stored, kind) => this.objects.set(kind, new Map(stored)));
    this.server?.closeAllConnections();
    this.watches.forEach((wake) => wake());
  }

  /** Advances the revision, as writes of other programs do. */
  advance(revisions: number): void {
    this.revision += revisions;
  }

  /** Increments only the era; open connections and pending watches are not affected. */
  raiseEra(): void {
    this.era++;
  }

  /** Answers one call. */
  handleCall(call: IncomingMessage, response: ServerResponse): void {
    const chunks: Buffer[] = [];
    call.on('data', (chunk: Buffer) => chunks.push(chunk));
    call.on('end', () => {
      this.calls.push(`${call.method} ${call.url}`);
      response.setHeader('Store-Era', this.era);
      if (!this.faultInjector?.(call, response)) {
        this.answer(call, response, Buffer.concat(chunks).toString());
      }
    });
  }

  private answer(call: IncomingMessage, response: ServerResponse, text: string): void {
    const url = new URL(call.url ?? '/', 'http://standin');
    const [kind = '', name] = url.pathname.replace('/hallhold/objects/', '').split('/');
    const send: SendAnswer = (status, body) => {
      response.writeHead(status, { 'Content-Type': 'application/json' });
      response.end(JSON.stringify(body));
    };
    if (call.method === 'GET') {
      this.read(kind, name, url.searchParams, send);
    } else {
      this.write(call.method ?? '', kind, name, text, send);
    }
  }

  private read(
    kind: string,
    name: string | undefined,
    query: URLSearchParams,
    send: SendAnswer,
  ): void {
    const watch = query.get('watch');
    if (watch !== null) {
      this.watch(kind, Number(watch), Number(query.get('wait-ms')), send);
    } else if (name === undefined) {
      const items = [...this.getKind(kind).values()];
      send(200, { items, more: false, at: this.revision });
    } else {
      const existing = this.getKind(kind).get(name);
      send(existing ? 200 : 404, existing ?? {});
    }
  }

  private write(
    method: string,
    kind: string,
    name: string | undefined,
    text: string,
    send: SendAnswer,
  ): void {
    const body = (text === '' ? {} : JSON.parse(text)) as {
      meta?: { name: string };
      spec?: unknown;
    };
    const target = name ?? body.meta?.name ?? '';
    const existing = this.getKind(kind).get(target);
    if (method === 'POST' && existing) {
      send(409, existing);
    } else if (method === 'POST' || (method === 'PUT' && existing)) {
      this.put(kind, target, body.spec);
      send(200, this.getKind(kind).get(target));
    } else if (method === 'DELETE' && existing) {
      this.remove(kind, target);
      send(200, {});
    } else {
      send(404, {});
    }
  }

  private watch(kind: string, after: number, wait: number, send: SendAnswer): void {
    const finish = (): void => {
      clearTimeout(timer);
      this.watches.delete(wake);
      const events = this.listChanges(kind, after);
      const isHistoryGone = this.isCompacted(after);
      send(isHistoryGone ? 410 : 200, isHistoryGone ? {} : { events, at: this.revision });
    };
    const wake = (): void => {
      if (this.listChanges(kind, after).length > 0 || this.isCompacted(after)) {
        finish();
      }
    };
    const timer = setTimeout(finish, wait);
    timer.unref();
    this.watches.add(wake);
    wake();
  }

  /** Whether the history after a revision is not available. */
  private isCompacted(after: number): boolean {
    return after < this.compactedThrough || after > this.revision;
  }

  private listChanges(kind: string, after: number): { object: Stored; gone: boolean }[] {
    return this.events
      .filter((event) => event.kind === kind && event.rev > after)
      .map(({ object, gone }) => ({ object, gone }));
  }
}
