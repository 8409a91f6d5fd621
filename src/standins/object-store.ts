/**
 * In-memory objects of the platform stand-in: versions, compare-and-set and a bounded
 * history for watches. Without I/O, so that the simulator can use it too.
 */

/** A stored object, after the Kubernetes API conventions. */
export interface StoredObject {
  readonly metadata: {
    readonly name: string;
    readonly resourceVersion: string;
    readonly annotations?: Record<string, string>;
  };
  readonly spec: unknown;
}

/** A change, as sent to watches. */
export interface StoreEvent {
  readonly type: 'ADDED' | 'MODIFIED';
  readonly revision: number;
  readonly object: StoredObject;
}

/** Outcome of a write. */
export type WriteResult =
  | { readonly outcome: 'written'; readonly object: StoredObject }
  | { readonly outcome: 'conflict' }
  | { readonly outcome: 'not-found' };

const MAXIMUM_HISTORY_EVENTS = 1_000;

/** Versioned objects of one collection. */
export class ObjectStore {
  private readonly objects = new Map<string, StoredObject>();
  private history: StoreEvent[] = [];
  private readonly listeners = new Set<(event: StoreEvent) => void>();
  private currentRevision = 1;

  /** Revision of the last write. */
  get revision(): number {
    return this.currentRevision;
  }

  list(): StoredObject[] {
    return [...this.objects.values()];
  }

  get(name: string): StoredObject | undefined {
    return this.objects.get(name);
  }

  /** Creates an object; a conflict if it exists. */
  create(name: string, draft: Omit<StoredObject, 'metadata'> & Partial<StoredObject>): WriteResult {
    if (this.objects.has(name)) {
      return { outcome: 'conflict' };
    }
    return this.writeObject('ADDED', name, draft);
  }

  /** Replaces an object if its version is still `expectedVersion`. */
  replace(
    name: string,
    expectedVersion: string | undefined,
    draft: Omit<StoredObject, 'metadata'> & Partial<StoredObject>,
  ): WriteResult {
    const existing = this.objects.get(name);
    if (!existing) {
      return { outcome: 'not-found' };
    }
    if (existing.metadata.resourceVersion !== expectedVersion) {
      return { outcome: 'conflict' };
    }
    return this.writeObject('MODIFIED', name, draft);
  }

  /** Changes after a revision; undefined if the history no longer covers them. */
  listChangesSince(revision: number): StoreEvent[] | undefined {
    const oldest = this.history[0]?.revision ?? this.currentRevision + 1;
    const complete = revision >= oldest - 1 || revision >= this.currentRevision;
    return complete ? this.history.filter((event) => event.revision > revision) : undefined;
  }

  /** Discards the history, so that watches from older revisions expire. */
  compactHistory(): void {
    this.history = [];
  }

  /** Calls `listener` on every write; returns the function that unsubscribes it. */
  subscribe(listener: (event: StoreEvent) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private writeObject(
    type: StoreEvent['type'],
    name: string,
    draft: Omit<StoredObject, 'metadata'> & Partial<StoredObject>,
  ): WriteResult {
    this.currentRevision++;
    const metadata = { ...draft.metadata, name, resourceVersion: String(this.currentRevision) };
    const object = { ...draft, metadata };
    this.objects.set(name, object);
    const event = { type, revision: this.currentRevision, object };
    this.history.push(event);
    if (this.history.length > MAXIMUM_HISTORY_EVENTS) {
      this.history.shift();
    }
    this.listeners.forEach((listener) => listener(event));
    return { outcome: 'written', object };
  }
}
