/** Client of the platform's store over HTTP and JSON, using undici. */
import { createInterface } from 'node:readline';
import { Err, Ok, type Result } from 'ts-results';
import { Agent, request, type Dispatcher } from 'undici';
import type { z } from 'zod';
import type { TableDelta } from '../core/table-cache';
import { createFailure, getErrorMessage, HallholdError } from '../errors/hallhold-error';
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
  convertToMachines,
  convertToStoredTable,
  convertToTable,
  createTableResource,
  nodeList,
  NODES_PATH,
  tableList,
  tableResource,
  TABLES_PATH,
  watchEvent,
} from './store-resources';

const CALL_TIMEOUT_MS = 2_000;
const STATUS_NOT_FOUND = 404;
const STATUS_CONFLICT = 409;
const STATUS_GONE = 410;
const MINIMUM_ERROR_STATUS = 400;

interface HttpResponse {
  readonly status: number;
  readonly body: unknown;
}

/** The store client of one process. */
export class HttpStore implements StorePort {
  private readonly agent = new Agent({
    connect: { timeout: CALL_TIMEOUT_MS },
    headersTimeout: CALL_TIMEOUT_MS,
    bodyTimeout: 0,
  });

  /** @param url base address, for example "http://127.0.0.1:7900" */
  constructor(private readonly url: string) {}

  list(callback: ResultCallback<TableDelta>): void {
    void this.fetchChecked('GET', TABLES_PATH, tableList).then((result) =>
      callback(
        result.map((list) => ({
          fromRevision: 0,
          throughRevision: list.metadata.resourceVersion,
          tables: list.items.map(convertToTable),
        })),
      ),
    );
  }

  watch(
    fromRevision: number,
    onChange: (delta: TableDelta) => void,
    onEnd: (error: HallholdError) => void,
  ): WatchHandle {
    const abort = new AbortController();
    void this.runWatch(fromRevision, onChange, abort.signal).then((error) => {
      if (!abort.signal.aborted) {
        onEnd(error);
      }
    });
    return { close: () => abort.abort() };
  }

  read(service: string, callback: ResultCallback<StoredTable | undefined>): void {
    void this.readTable(service).then(callback);
  }

  write(write: TableWrite, expectedRevision: number, callback: ResultCallback<number>): void {
    void this.writeTable(write, expectedRevision).then(callback);
  }

  listMachines(callback: ResultCallback<readonly MachineRecord[]>): void {
    void this.fetchChecked('GET', NODES_PATH, nodeList).then((result) =>
      callback(result.map(convertToMachines)),
    );
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async readTable(
    service: string,
  ): Promise<Result<StoredTable | undefined, HallholdError>> {
    const response = await this.call('GET', `${TABLES_PATH}/${service}`);
    if (response.err) {
      return response;
    }
    if (response.val.status === STATUS_NOT_FOUND) {
      return new Ok(undefined);
    }
    return checkResponse(response.val, tableResource).map(convertToStoredTable);
  }

  /** Reads the object first, as its earlier write ids must be written back. */
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
      return createFailure(
        ResultCodes.storeConflict,
        `the revision is ${revision}, expected ${expectedRevision}`,
      );
    }
    const resource = createTableResource(
      write,
      expectedRevision,
      current.val?.recentWriteIds ?? [],
    );
    const response =
      expectedRevision === 0
        ? await this.call('POST', TABLES_PATH, resource)
        : await this.call('PUT', `${TABLES_PATH}/${write.service}`, resource);
    return response.andThen((value) =>
      checkResponse(value, tableResource).map((stored) => stored.metadata.resourceVersion),
    );
  }

  private async runWatch(
    fromRevision: number,
    onChange: (delta: TableDelta) => void,
    signal: AbortSignal,
  ): Promise<HallholdError> {
    try {
      const path = `${TABLES_PATH}?watch=1&resourceVersion=${fromRevision}`;
      const response = await request(this.url + path, { dispatcher: this.agent, signal });
      if (response.statusCode >= MINIMUM_ERROR_STATUS) {
        await response.body.dump();
        return createStatusError(response.statusCode);
      }
      let revision = fromRevision;
      for await (const line of createInterface({ input: response.body })) {
        const delta = parseWatchLine(line, revision);
        revision = delta.throughRevision;
        onChange(delta);
      }
      return new HallholdError(ResultCodes.storeUnavailable, 'the store closed the watch');
    } catch (error) {
      return error instanceof HallholdError
        ? error
        : new HallholdError(ResultCodes.storeUnavailable, getErrorMessage(error));
    }
  }

  private async fetchChecked<T>(
    method: Dispatcher.HttpMethod,
    path: string,
    schema: z.ZodType<T>,
  ): Promise<Result<T, HallholdError>> {
    const response = await this.call(method, path);
    return response.andThen((value) => checkResponse(value, schema));
  }

  private async call(
    method: Dispatcher.HttpMethod,
    path: string,
    body?: unknown,
  ): Promise<Result<HttpResponse, HallholdError>> {
    try {
      const response = await request(this.url + path, {
        method,
        dispatcher: this.agent,
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
        ...(body === undefined
          ? {}
          : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } }),
      });
      return new Ok({ status: response.statusCode, body: await response.body.json() });
    } catch (error) {
      return createFailure(ResultCodes.storeUnavailable, getErrorMessage(error));
    }
  }
}

function checkResponse<T>(response: HttpResponse, schema: z.ZodType<T>): Result<T, HallholdError> {
  if (response.status >= MINIMUM_ERROR_STATUS) {
    return new Err(createStatusError(response.status));
  }
  const checked = schema.safeParse(response.body);
  return checked.success
    ? new Ok(checked.data)
    : createFailure(ResultCodes.storeAnswerInvalid, checked.error.message);
}

function createStatusError(status: number): HallholdError {
  if (status === STATUS_CONFLICT) {
    return new HallholdError(ResultCodes.storeConflict, 'the object has changed');
  }
  if (status === STATUS_GONE) {
    return new HallholdError(
      ResultCodes.storeWatchExpired,
      'the store no longer has the revision at which the watch starts',
    );
  }
  return new HallholdError(
    ResultCodes.storeUnavailable,
    `the store answered with HTTP status ${status}`,
  );
}

function parseWatchLine(line: string, fromRevision: number): TableDelta {
  const event = watchEvent.safeParse(JSON.parse(line));
  if (!event.success || event.data.type === 'ERROR') {
    throw new HallholdError(
      ResultCodes.storeWatchExpired,
      'the watch returned an error or an invalid event',
    );
  }
  const resource = tableResource.parse(event.data.object);
  const throughRevision = resource.metadata.resourceVersion;
  const tables = event.data.type === 'BOOKMARK' ? [] : [convertToTable(resource)];
  return { fromRevision, throughRevision, tables };
}
