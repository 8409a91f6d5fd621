/**
 * Polls the back end's load report: its load, and whether it is draining.
 *
 * The report is delayed and may be wrong, so load has only a small weight in placement.
 * After several unanswered reports a back end gets no new work until it answers again.
 */
import { CoapCode, CoapOption, type CoapMessage } from '../coap/coap-message';
import type { AgentContext } from './agent-context';
import type { BackendRequests } from './backend-requests';
import type { BackendResult } from './request-exchange';

const REPORT_DEADLINE_MS = 1_000;
const UNANSWERED_REPORTS_UNTIL_UNREADY = 3;
const GET_CODE = '0.01';

/** A back end's load report: a JSON object. */
interface LoadReport {
  /** 0 to 1. */
  readonly load?: unknown;
  readonly draining?: unknown;
}

/** State handed to the successor. */
export interface BackendMonitorState {
  readonly load: number;
  readonly draining: boolean;
  readonly servingSince: number;
  readonly silentReports: number;
  readonly polling: boolean;
}

/** Polls one back end. */
export class BackendMonitor {
  /** Last reported load, 0 to 1. */
  load = 0;
  /** True while the back end asks for no new work. */
  draining = false;
  /** Time since which the back end has served without interruption. */
  servingSince: number;
  private silentReports = 0;
  private polling = false;

  constructor(
    private readonly context: AgentContext,
    private readonly requests: BackendRequests,
    private readonly onChanged: () => void,
  ) {
    this.servingSince = context.environment.now();
  }

  /** False after several consecutive unanswered reports. */
  get isReady(): boolean {
    return this.silentReports < UNANSWERED_REPORTS_UNTIL_UNREADY;
  }

  /** Requests a report, unless one is pending or the service has none. */
  poll(): void {
    const { protocol, loadPath } = this.context.settings;
    if (protocol !== 'coap' || loadPath === '' || this.polling) {
      return;
    }
    this.polling = true;
    this.requests.send(createReportRequest(loadPath), { kind: 'load-report' }, REPORT_DEADLINE_MS);
  }

  /** Handles the result of a poll. */
  receiveReport(result: BackendResult): void {
    this.polling = false;
    this.recordReport(result.outcome === 'answered' ? result.message : undefined);
  }

  exportState(): BackendMonitorState {
    const { load, draining, servingSince, silentReports, polling } = this;
    return { load, draining, servingSince, silentReports, polling };
  }

  importState(state: BackendMonitorState): void {
    Object.assign(this, state);
  }

  private recordReport(message: CoapMessage | undefined): void {
    const wasReady = this.isReady;
    const wasDraining = this.draining;
    if (message?.code === CoapCode.content) {
      this.silentReports = 0;
      this.applyReport(message.payload);
    } else {
      this.silentReports++;
    }
    if (!wasReady && this.isReady) {
      this.servingSince = this.context.environment.now();
    }
    if (wasReady !== this.isReady || wasDraining !== this.draining) {
      this.onChanged();
    }
  }

  private applyReport(payload: Buffer): void {
    const report = parseReport(payload);
    const { load, draining } = report;
    if (typeof load === 'number' && load >= 0 && load <= 1) {
      this.load = load;
    }
    this.draining = draining === true;
  }
}

function parseReport(payload: Buffer): LoadReport {
  try {
    const value: unknown = JSON.parse(payload.toString());
    return typeof value === 'object' && value !== null ? value : {};
  } catch {
    return {};
  }
}

function createReportRequest(path: string): CoapMessage {
  const options = path
    .split('/')
    .filter((segment) => segment !== '')
    .map((segment) => ({ name: CoapOption.uriPath, value: Buffer.from(segment) }));
  return {
    code: GET_CODE,
    confirmable: true,
    ack: false,
    reset: false,
    messageId: 0,
    token: Buffer.alloc(0),
    options,
    payload: Buffer.alloc(0),
  };
}
