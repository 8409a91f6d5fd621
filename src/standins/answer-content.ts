/** What callers read in the answers of back end stand-ins. */
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

/** What back end stand-ins say in an answer. */
export interface AnswerContent extends AnswerOrigin {
  readonly path?: string;
  readonly sequence?: number;
  readonly done?: string;
  readonly echo?: string;
}

/** The content of an answer; undefined when it is none of a stand-in's. */
export function parseContent(payload: Buffer): AnswerContent | undefined {
  try {
    return JSON.parse(payload.toString()) as AnswerContent;
  } catch {
    return undefined;
  }
}

/** A path as Uri-Path options. */
export function createPathOptions(path: string): CoapMessage['options'] {
  return path
    .split('/')
    .map((segment) => ({ name: CoapOption.uriPath, value: Buffer.from(segment) }));
}

/** Counts a request that ended without its answer. */
export function recordFailure(statistics: CallerStatistics, answer: CoapMessage | undefined): void {
  if (answer === undefined) {
    statistics.recordUnanswered();
  } else if (answer.code === CoapCode.serviceUnavailable) {
    statistics.refusedNotRun++;
  } else if (answer.code === CoapCode.gatewayTimeout) {
    statistics.recordUnknownOutcome();
  } else {
    statistics.recordWrongAnswer(`a request got code ${answer.code}`);
  }
}

/** Not run, for want of a valid permit. */
export function isUnauthorized(answer: CoapMessage | undefined): boolean {
  return answer?.code === CoapCode.unauthorized;
}

/** Milliseconds to wait before trying again, as the answer says. */
export function getRetryDelayMs(answer: CoapMessage | undefined): number {
  if (!answer) {
    return UNANSWERED_RETRY_DELAY_MS;
  }
  return (
    (decodeInteger(findOption(answer, CoapOption.maxAge)) ?? DEFAULT_RETRY_DELAY_SECONDS) *
    MS_PER_SECOND
  );
}
