/** The operators' API as the command line calls it, through undici. */
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

/** An edit as sent to the API. */
export interface EditRequest {
  readonly baseRevision: number;
  readonly baseRows: readonly RowView[];
  readonly rows: readonly RowView[];
  readonly writeId: string;
}

/** A balancer's /status page. */
export interface BalancerStatus {
  readonly name: string;
  readonly zone: string;
  readonly ready: boolean;
  readonly statistics: BalancerStatistics;
  readonly members: readonly MemberRecord[];
  /** Targets that are not simply serving. */
  readonly targets: readonly TargetView[];
}

/** Client of one balancer's API. */
export class OperatorClient {
  /** @param url base address, for example "http://127.0.1.1:7080" */
  constructor(private readonly url: string) {}

  /** Every table in force at the balancer. */
  listTables(): Promise<Result<readonly TableView[], HallholdError>> {
    return this.call('GET', '/tables');
  }

  /** One table; revision 0 without rows when the service has none. */
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

  /** The state of a write by its id. */
  getWriteStatus(writeId: string): Promise<Result<unknown, HallholdError>> {
    return this.call('GET', `/tables/writes/${writeId}`);
  }

  /** Figures and members of the process. */
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
  return new HallholdError(fallback, `the balancer answered ${status}`);
}

function findResultCode(number: number | undefined): ResultCode | undefined {
  return Object.values(ResultCodes).find((code) => code.number === number);
}
