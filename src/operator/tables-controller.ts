/** Table routes of the operators' API, on balancers. */
import { Body, Controller, Get, HttpException, Inject, Param, Put } from '@nestjs/common';
import { z } from 'zod';
import type { BalancerNode } from '../balancer/balancer-node';
import type { AcceptedEdit } from '../balancer/table-acceptance';
import type { ServiceTable } from '../core/table';
import { HallholdError } from '../errors/hallhold-error';
import { ResultCodes, type ResultCode } from '../errors/result-codes';
import { BALANCER_NODE } from './admin-tokens';
import { checkRows, createRowViews, type RowView, type ServiceRows } from './table-rows';

/** A service's table in the form of the API. */
export interface TableView {
  readonly service: string;
  readonly revision: number;
  readonly rows: readonly RowView[];
}

/** An error in the form of the API. */
export interface ErrorView {
  readonly number: number;
  readonly name: string;
  readonly message: string;
  readonly retry: string;
  readonly details: readonly string[];
}

const editSchema = z.strictObject({
  baseRevision: z.number().int().min(0),
  baseRows: z.array(z.unknown()).default([]),
  rows: z.array(z.unknown()),
  writeId: z.string().min(8).max(64),
});

const HTTP_STATUS: ReadonlyMap<number, number> = new Map([
  [ResultCodes.tableInvalid.number, 400],
  [ResultCodes.tableConflict.number, 409],
  [ResultCodes.tableUnknownService.number, 404],
  [ResultCodes.tableOutcomeUnknown.number, 504],
  [ResultCodes.storeUnavailable.number, 503],
]);

@Controller('tables')
export class TablesController {
  constructor(@Inject(BALANCER_NODE) private readonly balancer: BalancerNode) {}

  /** Returns every active table of this balancer. */
  @Get()
  list(): readonly TableView[] {
    return [...this.balancer.distribution.cache.listTables()].map(createTableView);
  }

  /** Returns the table of one service; 404 with error 1103 when there is none. */
  @Get(':service')
  get(@Param('service') service: string): TableView {
    const table = this.balancer.distribution.cache.get(service);
    if (!table) {
      throw createHttpException(ResultCodes.tableUnknownService, `no table for ${service}`);
    }
    return createTableView(table);
  }

  /** Returns the state of an edit by its write id; 404 with error 1103 when unknown. */
  @Get('writes/:writeId')
  writeStatus(@Param('writeId') writeId: string): unknown {
    const status = this.balancer.acceptance.getStatus(writeId);
    if (!status) {
      throw createHttpException(
        ResultCodes.tableUnknownService,
        `no write ${writeId} at this balancer`,
      );
    }
    return status.state === 'refused'
      ? { ...status, error: createErrorView(status.error) }
      : status;
  }

  /** Replaces a service's rows; answers once the edit is accepted, refused or of unknown outcome. */
  @Put(':service')
  async put(@Param('service') service: string, @Body() body: unknown): Promise<AcceptedEdit> {
    const edit = editSchema.safeParse(body);
    if (!edit.success) {
      const details = edit.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`);
      throw createHttpException(ResultCodes.tableInvalid, 'the edit is malformed', details);
    }
    const { baseRevision, writeId } = edit.data;
    const rows = parseServiceRows(service, edit.data.rows);
    const baseRows = parseServiceRows(service, edit.data.baseRows);
    const submitted = { service, rows, baseRows, baseRevision, writeId };
    return new Promise((resolve, reject) => {
      this.balancer.acceptance.submit(submitted, (result) => {
        if (result.ok) {
          resolve(result.val);
        } else {
          reject(convertToHttpException(result.val));
        }
      });
    });
  }
}

/** Converts an error to the form of the API. */
export function createErrorView(error: HallholdError): ErrorView {
  const { number, name, retry } = error.resultCode;
  return { number, name, message: error.message, retry, details: error.details };
}

function createTableView(table: ServiceTable): TableView {
  const { service, revision, rows } = table;
  return { service, revision, rows: createRowViews(service, rows) };
}

function parseServiceRows(service: string, values: readonly unknown[]): ServiceRows['rows'] {
  const checked = checkRows(values, (index) => `row ${index + 1}`);
  if (checked.err) {
    throw convertToHttpException(checked.val);
  }
  const otherService = checked.val.find((group) => group.service !== service);
  if (otherService) {
    const text = `the edit of ${service} contains rows of ${otherService.service}`;
    throw createHttpException(ResultCodes.tableInvalid, text);
  }
  return checked.val[0]?.rows ?? [];
}

function convertToHttpException(error: HallholdError): HttpException {
  return new HttpException(createErrorView(error), HTTP_STATUS.get(error.resultCode.number) ?? 500);
}

function createHttpException(
  code: ResultCode,
  message: string,
  details: readonly string[] = [],
): HttpException {
  return convertToHttpException(new HallholdError(code, message, details));
}
