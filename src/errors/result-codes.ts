/**
 * The numbered result codes of hallhold.
 *
 * Every failure that a module returns carries one of these numbers; the table
 * in docs/ERRORS.md describes each one for operators, and a test checks that
 * both lists are the same.
 */

/** Whether the caller may retry the same call. */
export type RetryAdvice =
  /** The operation had no effect; the same call may be retried. */
  | 'safe'
  /** The operation may have taken effect; read the state back before retrying. */
  | 'unknown'
  /** The same call will fail again unless the input changes. */
  | 'never';

/** An entry of the catalogue of result codes. */
export interface ResultCode {
  readonly number: number;
  readonly name: string;
  readonly retry: RetryAdvice;
}

function code(number: number, name: string, retry: RetryAdvice): ResultCode {
  return { number, name, retry };
}

/** All result codes; numbers are never reused. */
export const ResultCodes = {
  settingsUnreadable: code(1001, 'settings-unreadable', 'never'),
  settingsInvalid: code(1002, 'settings-invalid', 'never'),
  commandInvalid: code(1003, 'command-invalid', 'never'),
  tableInvalid: code(1101, 'table-invalid', 'never'),
  tableConflict: code(1102, 'table-conflict', 'never'),
  tableUnknownService: code(1103, 'table-unknown-service', 'never'),
  tableOutcomeUnknown: code(1104, 'table-outcome-unknown', 'unknown'),
  tableFileUnreadable: code(1105, 'table-file-unreadable', 'never'),
  storeUnavailable: code(1201, 'store-unavailable', 'safe'),
  storeConflict: code(1202, 'store-conflict', 'never'),
  storeWatchExpired: code(1203, 'store-watch-expired', 'safe'),
  storeAnswerInvalid: code(1204, 'store-answer-invalid', 'unknown'),
  storeEraChanged: code(1205, 'store-era-changed', 'safe'),
  storeAnswerTooLarge: code(1206, 'store-answer-too-large', 'never'),
  frameTooShort: code(1301, 'frame-too-short', 'never'),
  frameNotAuthentic: code(1302, 'frame-not-authentic', 'never'),
  frameMalformed: code(1303, 'frame-malformed', 'never'),
  addressInvalid: code(1401, 'address-invalid', 'never'),
  addressInUse: code(1402, 'address-in-use', 'safe'),
  handoverFailed: code(1403, 'handover-failed', 'safe'),
  peerUnreachable: code(1404, 'peer-unreachable', 'safe'),
  operatorApiUnreachable: code(1501, 'operator-api-unreachable', 'safe'),
  waitTimedOut: code(1502, 'wait-timed-out', 'safe'),
  logUnreadable: code(1503, 'log-unreadable', 'never'),
  scenarioUnknown: code(1601, 'scenario-unknown', 'never'),
  violationsFound: code(1602, 'violations-found', 'never'),
  heartbeatInvalid: code(1701, 'heartbeat-invalid', 'never'),
} as const satisfies Record<string, ResultCode>;
