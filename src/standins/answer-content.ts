/** Decodes and classifies the answers of back-end stand-ins for callers. */
import {
  CoapCode,
  CoapOption,
  findOption,
  decodeInteger,
  type CoapMessage,
} from '../coap/coap-message';
import type { AnswerOrigin } from './backend-standin';
import type { CallerStatistics } from './caller-statistics';

const UNANSWERED_RETRY_DELAY_MS = 5_000;
const DEFAULT_RETRY_DELAY_SECONDS = 1;
const MS_PER_SECOND = 1_000;

/** JSON payload of an answer of a back-end stand-in. */
export interface AnswerContent extends AnswerOrigin {
  readonly path?: string;
  readonly sequence?: number;
  readonly done?: string;
  readonly echo?: string;
}

/** Parses the payload of an answer; undefined if it is not JSON. */
export function parseContent(payload: Buffer): AnswerContent | undefined {
  try {
    return JSON.parse(payload.toString()) as AnswerContent;
  } catch {
    return undefined;
  }
}

/** Converts a path to Uri-Path options. */
export function createPathOptions(path: string): CoapMessage['options'] {
  return path
    .split('/')
    .map((segment) => ({ name: CoapOption.uriPath, value: Buffer.from(segment) }));
}

/** Counts a request that ended without the expected answer. */
export function recordFailure(statistics: CallerStatistics, answer: CoapMessage | undefined): void {
  if (answer === undefined) {
    statistics.recordUnanswered();
  } else if (answer.code === CoapCode.serviceUnavailable) {
    statistics.refusedNotRun++;
  } else if (answer.code === CoapCode.gatewayTimeout) {
    statistics.recordUnknownOutcome();
  } else {
    statistics.recordWrongAnswer(`request got unexpected code ${answer.code}`);
  }
}

/** Whether the request was not run because it carried no valid permit (4.01). */
export function isUnauthorized(answer: CoapMessage | undefined): boolean {
  return answer?.code === CoapCode.unauthorized;
}

/** Milliseconds to wait before a retry, from the Max-Age of the answer. */
export function getRetryDelayMs(answer: CoapMessage | undefined): number {
  if (!answer) {
    return UNANSWERED_RETRY_DELAY_MS;
  }
  return (
    (decodeInteger(findOption(answer, CoapOption.maxAge)) ?? DEFAULT_RETRY_DELAY_SECONDS) *
    MS_PER_SECOND
  );
}
