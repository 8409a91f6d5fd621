/** A small stand-in of the platform's object API over HTTP, with answers that can be spoilt. */
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

/** Spoils an answer; returns true when it has answered itself. */
export type FaultInjector = (call: IncomingMessage, response: ServerResponse) => boolean;

/** What the store held at some time. */
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

  /** Where it listens. */
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
    this.kind(kind).set(name, object);
    this.publish({ kind, rev: this.revision, object, gone: false });
  }

  /** Another program leaves something under a name, whatever it is. */
  putRaw(kind: string, name: string, object: unknown): void {
    this.revision++;
    this.kind(kind).set(name, object as Stored);
    this.publish({ kind, rev: this.revision, object: object as Stored, gone: false });
  }

  /** Removes an object that is there. */
  remove(kind: string, name: string): void {
    const object = this.kind(kind).get(name)!;
    this.kind(kind).delete(name);
    this.publish({ kind, rev: ++this.revision, object, gone: true });
  }

  get(kind: string, name: string): unknown {
    return this.kind(kind).get(name)?.spec;
  }

  private kind(kind: string): Map<string, Stored> {
    const known = this.objects.get(kind) ?? new Map<string, Stored>();
    this.objects.set(kind, known);
    return known;
  }

  private publish(event: Event): void {
    this.events.push(event);
    this.watches.forEach((wake) => wake());
  }

  /** Forgets its history: watches of earlier revisions get 410 from now on. */
  compactHistory(): void {
    this.compactedThrough = this.revision;
    this.watches.forEach((wake) => wake());
  }

  /** A copy of all that the store holds now. */
  createBackup(): StoreBackup {
    const objects = new Map([...this.objects].map(([kind, known]) => [kind, new Map(known)]));
    return { revision: this.revision, objects };
  }

  /** Comes back from a copy: what was written since is gone, and its revisions are given out again. */
  restoreFrom({ revision, objects }: StoreBackup): void {
    this.era++;
    this.revision = this.compactedThrough = revision;
    this.events.length = 0;
    this.objects.clear();
    objects.forEach((known, kind) => this.objects.set(kind, new Map(known)));
    this.server?.closeAllConnections();
    this.watches.forEach((wake) => wake());
  }

  /** Writes of others, so that the revision passes one that it had before. */
  advance(revisions: number): void {
    this.revision += revisions;
  }

  /** The era alone rises: connections and waiting calls notice nothing. */
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
      const items = [...this.kind(kind).values()];
      send(200, { items, more: false, at: this.revision });
    } else {
      const known = this.kind(kind).get(name);
      send(known ? 200 : 404, known ?? {});
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
    const known = this.kind(kind).get(target);
    if (method === 'POST' && known) {
      send(409, known);
    } else if (method === 'POST' || (method === 'PUT' && known)) {
      this.put(kind, target, body.spec);
      send(200, this.kind(kind).get(target));
    } else if (method === 'DELETE' && known) {
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
      const isForgotten = this.isCompacted(after);
      send(isForgotten ? 410 : 200, isForgotten ? {} : { events, at: this.revision });
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

  /** Whether the history after a revision is not to be had. */
  private isCompacted(after: number): boolean {
    return after < this.compactedThrough || after > this.revision;
  }

  private listChanges(kind: string, after: number): { object: Stored; gone: boolean }[] {
    return this.events
      .filter((event) => event.kind === kind && event.rev > after)
      .map(({ object, gone }) => ({ object, gone }));
  }
}
