/** HTTP client of the operators' API for the command line, built on undici. */
import { Err, Ok, type Result } from 'ts-results';
import { request } from 'undici';
import { createFailure, HallholdError, getErrorMessage } from '../errors/hallhold-error';
import { ResultCodes, type ResultCode } from '../errors/result-codes';
import type { BalancerStatistics } from '../balancer/balancer-node';
import type { AcceptedEdit } from '../balancer/table-acceptance';
import type { MemberRecord } from '../wire/messages';
import type { TargetView } from './status-controller';
import type { RowView } from './table-rows';
import type { ErrorView, TableView } from './tables-controller';

const CALL_TIMEOUT_MS = 15_000;
const MINIMUM_ERROR_STATUS = 400;
const STATUS_NOT_FOUND = 404;

/** Body of a table edit. */
export interface EditRequest {
  readonly baseRevision: number;
  readonly baseRows: readonly RowView[];
  readonly rows: readonly RowView[];
  readonly writeId: string;
}

/** Document at /status of a balancer. */
export interface BalancerStatus {
  readonly name: string;
  readonly zone: string;
  readonly ready: boolean;
  readonly statistics: BalancerStatistics;
  readonly members: readonly MemberRecord[];
  /** Targets that are draining or stopped. */
  readonly targets: readonly TargetView[];
}

/** Client of the API of one balancer. */
export class OperatorClient {
  /** @param url base address, for example "http://127.0.1.1:7080" */
  constructor(private readonly url: string) {}

  /** Returns every active table of the balancer. */
  listTables(): Promise<Result<readonly TableView[], HallholdError>> {
    return this.call('GET', '/tables');
  }

  /** Returns one table; an empty one at revision 0 when the service has none. */
  async getTable(service: string): Promise<Result<TableView, HallholdError>> {
    const result = await this.call<TableView>('GET', `/tables/${service}`);
    if (result.err && result.val.resultCode.number === ResultCodes.tableUnknownService.number) {
      return new Ok({ service, revision: 0, rows: [] });
    }
    return result;
  }

  putTable(service: string, edit: EditRequest): Promise<Result<AcceptedEdit, HallholdError>> {
    return this.call('PUT', `/tables/${service}`, edit);
  }

  /** Returns the state of a write by its id. */
  getWriteStatus(writeId: string): Promise<Result<unknown, HallholdError>> {
    return this.call('GET', `/tables/writes/${writeId}`);
  }

  /** Returns metric values and members of the process. */
  getStatus(): Promise<Result<BalancerStatus, HallholdError>> {
    return this.call('GET', '/status');
  }

  private async call<T>(
    method: 'GET' | 'PUT',
    path: string,
    body?: unknown,
  ): Promise<Result<T, HallholdError>> {
    try {
      const response = await request(this.url + path, {
        method,
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
        ...(body === undefined
          ? {}
          : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } }),
      });
      const answer: unknown = await response.body.json();
      return response.statusCode < MINIMUM_ERROR_STATUS
        ? new Ok(answer as T)
        : new Err(createApiError(response.statusCode, answer));
    } catch (error) {
      return createFailure(
        ResultCodes.operatorApiUnreachable,
        `${this.url}: ${getErrorMessage(error)}`,
      );
    }
  }
}

function createApiError(status: number, answer: unknown): HallholdError {
  const view = answer as Partial<ErrorView>;
  const code = findResultCode(view.number);
  if (code) {
    return new HallholdError(code, view.message ?? '', view.details ?? []);
  }
  const fallback =
    status === STATUS_NOT_FOUND
      ? ResultCodes.tableUnknownService
      : ResultCodes.operatorApiUnreachable;
  return new HallholdError(fallback, `the balancer answered with HTTP status ${status}`);
}

function findResultCode(number: number | undefined): ResultCode | undefined {
  return Object.values(ResultCodes).find((code) => code.number === number);
}
