/** The platform's store over HTTP and JSON, through undici. */
import { createInterface } from 'node:readline';
import { Err, Ok, type Result } from 'ts-results';
import { Agent, request, type Dispatcher } from 'undici';
import type { z } from 'zod';
import type { TableDelta } from '../core/table-cache';
import { failure, HallholdError, messageOf } from '../errors/hallhold-error';
import { ResultCodes } from '../errors/result-codes';
import type {
  ResultCallback,
  MachineRecord,
  StoredTable,
  StorePort,
  TableWrite,
  WatchHandle,
} from './store-port';
import {
  nodeList,
  NODES_PATH,
  tableList,
  tableResource,
  TABLES_PATH,
  toMachines,
  toResource,
  toStoredTable,
  toTable,
  watchEvent,
} from './store-resources';

const CALL_TIMEOUT = 2_000;
const STATUS_NOT_FOUND = 404;
const STATUS_CONFLICT = 409;
const STATUS_GONE = 410;
const STATUS_ERROR = 400;

interface HttpAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** Store client of one process. */
export class HttpStore implements StorePort {
  private readonly agent = new Agent({
    connect: { timeout: CALL_TIMEOUT },
    headersTimeout: CALL_TIMEOUT,
    bodyTimeout: 0,
  });

  /** @param url base address, for example "http://127.0.0.1:7900" */
  constructor(private readonly url: string) {}

  list(answer: ResultCallback<TableDelta>): void {
    void this.fetchChecked('GET', TABLES_PATH, tableList).then((result) =>
      answer(
        result.map((list) => ({
          fromRevision: 0,
          throughRevision: list.metadata.resourceVersion,
          tables: list.items.map(toTable),
        })),
      ),
    );
  }

  watch(
    fromRevision: number,
    changed: (delta: TableDelta) => void,
    ended: (error: HallholdError) => void,
  ): WatchHandle {
    const abort = new AbortController();
    void this.runWatch(fromRevision, changed, abort.signal).then((error) => {
      if (!abort.signal.aborted) {
        ended(error);
      }
    });
    return { close: () => abort.abort() };
  }

  read(service: string, answer: ResultCallback<StoredTable | undefined>): void {
    void this.readTable(service).then(answer);
  }

  write(write: TableWrite, expectedRevision: number, answer: ResultCallback<number>): void {
    void this.writeTable(write, expectedRevision).then(answer);
  }

  machines(answer: ResultCallback<readonly MachineRecord[]>): void {
    void this.fetchChecked('GET', NODES_PATH, nodeList).then((result) =>
      answer(result.map(toMachines)),
    );
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async readTable(
    service: string,
  ): Promise<Result<StoredTable | undefined, HallholdError>> {
    const answered = await this.call('GET', `${TABLES_PATH}/${service}`);
    if (answered.err) {
      return answered;
    }
    if (answered.val.status === STATUS_NOT_FOUND) {
      return new Ok(undefined);
    }
    return check(answered.val, tableResource).map(toStoredTable);
  }

  /** Reads first: the object's earlier write ids must be carried on. */
  private async writeTable(
    write: TableWrite,
    expectedRevision: number,
  ): Promise<Result<number, HallholdError>> {
    const current = await this.readTable(write.service);
    if (current.err) {
      return current;
    }
    const revision = current.val?.table.revision ?? 0;
    if (revision !== expectedRevision) {
      return failure(ResultCodes.storeConflict, `revision is ${revision}, not ${expectedRevision}`);
    }
    const resource = toResource(write, expectedRevision, current.val?.recentWriteIds ?? []);
    const answered =
      expectedRevision === 0
        ? await this.call('POST', TABLES_PATH, resource)
        : await this.call('PUT', `${TABLES_PATH}/${write.service}`, resource);
    return answered.andThen((value) =>
      check(value, tableResource).map((stored) => stored.metadata.resourceVersion),
    );
  }

  private async runWatch(
    fromRevision: number,
    changed: (delta: TableDelta) => void,
    signal: AbortSignal,
  ): Promise<HallholdError> {
    try {
      const path = `${TABLES_PATH}?watch=1&resourceVersion=${fromRevision}`;
      const response = await request(this.url + path, { dispatcher: this.agent, signal });
      if (response.statusCode >= STATUS_ERROR) {
        await response.body.dump();
        return statusError(response.statusCode);
      }
      let revision = fromRevision;
      for await (const line of createInterface({ input: response.body })) {
        const delta = parseWatchLine(line, revision);
        revision = delta.throughRevision;
        changed(delta);
      }
      return new HallholdError(ResultCodes.storeUnavailable, 'the watch ended');
    } catch (error) {
      return error instanceof HallholdError
        ? error
        : new HallholdError(ResultCodes.storeUnavailable, messageOf(error));
    }
  }

  private async fetchChecked<T>(
    method: Dispatcher.HttpMethod,
    path: string,
    schema: z.ZodType<T>,
  ): Promise<Result<T, HallholdError>> {
    const answered = await this.call(method, path);
    return answered.andThen((value) => check(value, schema));
  }

  private async call(
    method: Dispatcher.HttpMethod,
    path: string,
    body?: unknown,
  ): Promise<Result<HttpAnswer, HallholdError>> {
    try {
      const response = await request(this.url + path, {
        method,
        dispatcher: this.agent,
        signal: AbortSignal.timeout(CALL_TIMEOUT),
        ...(body === undefined
          ? {}
          : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } }),
      });
      return new Ok({ status: response.statusCode, body: await response.body.json() });
    } catch (error) {
      return failure(ResultCodes.storeUnavailable, messageOf(error));
    }
  }
}

function check<T>(answer: HttpAnswer, schema: z.ZodType<T>): Result<T, HallholdError> {
  if (answer.status >= STATUS_ERROR) {
    return new Err(statusError(answer.status));
  }
  const checked = schema.safeParse(answer.body);
  return checked.success
    ? new Ok(checked.data)
    : failure(ResultCodes.storeAnswerInvalid, checked.error.message);
}

function statusError(status: number): HallholdError {
  if (status === STATUS_CONFLICT) {
    return new HallholdError(ResultCodes.storeConflict, 'the object has changed');
  }
  if (status === STATUS_GONE) {
    return new HallholdError(ResultCodes.storeWatchExpired, 'the watch starts too long ago');
  }
  return new HallholdError(ResultCodes.storeUnavailable, `the store answered ${status}`);
}

function parseWatchLine(line: string, fromRevision: number): TableDelta {
  const event = watchEvent.safeParse(JSON.parse(line));
  if (!event.success || event.data.type === 'ERROR') {
    throw new HallholdError(ResultCodes.storeWatchExpired, 'the watch reported an error');
  }
  const resource = tableResource.parse(event.data.object);
  const throughRevision = resource.metadata.resourceVersion;
  const tables = event.data.type === 'BOOKMARK' ? [] : [toTable(resource)];
  return { fromRevision, throughRevision, tables };
}
