/**
 * Reconstructs the timeline of one request or flow from the logs of all processes.
 *
 * Records are merged by the time stamps in the logs. Clocks of machines differ and are not
 * corrected, so the order of records of different machines is approximate.
 */
import { Events, type EventKind } from '../logging/events';
import type { LogRecord } from './log-reader';

/** State changes this long before and after the flow's own records are included. */
const RELATED_RECORDS_MARGIN_MS = 3_000;

/** Timeline and likely cause for one flow. */
export interface Explanation {
  /** Client address of the flow as "address:port"; undefined when nothing was found. */
  readonly client: string | undefined;
  /** Records of the flow and of related state changes, by time. */
  readonly story: readonly LogRecord[];
  readonly cause: string;
}

/** Explains a request id or a client address "address:port". */
export function explain(records: readonly LogRecord[], id: string): Explanation {
  const delivered = records.find(({ fields }) => fields['request'] === id);
  const client = delivered ? String(delivered.fields['client']) : id;
  const flowRecords = records.filter(({ fields }) => fields['client'] === client);
  if (flowRecords.length === 0) {
    const cause = 'not in any log: it never reached a balancer, or its lines were suppressed';
    return { client: undefined, story: [], cause };
  }
  const merged = mergeByTime(flowRecords.concat(findRelatedRecords(records, flowRecords)));
  return { client, story: merged, cause: findLikelyCause(flowRecords, merged) };
}

/** State changes of the processes and agents that the flow's records name. */
function findRelatedRecords(
  records: readonly LogRecord[],
  flowRecords: readonly LogRecord[],
): LogRecord[] {
  const first = Math.min(...flowRecords.map(({ time }) => time)) - RELATED_RECORDS_MARGIN_MS;
  const last = Math.max(...flowRecords.map(({ time }) => time)) + RELATED_RECORDS_MARGIN_MS;
  const sources = new Set(flowRecords.map(({ source }) => source));
  const agents = new Set(flowRecords.map(({ fields }) => fields['agent']));
  const kinds = new Set(STATE_CHANGE_EVENTS.map(({ number }) => number));
  return records.filter(
    ({ time, event, source, fields }) =>
      kinds.has(event) &&
      time >= first &&
      time <= last &&
      (sources.has(source) || agents.has(fields['agent'])),
  );
}

const STATE_CHANGE_EVENTS: readonly EventKind[] = [
  Events.processStarted,
  Events.processStopping,
  Events.processStopped,
  Events.processFault,
  Events.routingApplied,
  Events.storeUnavailable,
  Events.storeRegained,
  Events.viewComplete,
  Events.readinessChanged,
  Events.agentStateSeen,
  Events.agentRemoved,
  Events.targetStateChanged,
];

/** Sorts by time; records with equal times keep their input order. */
function mergeByTime(records: readonly LogRecord[]): LogRecord[] {
  return records
    .map((record, order) => ({ record, order }))
    .sort((a, b) => a.record.time - b.record.time || a.order - b.order)
    .map(({ record }) => record);
}

function hasEvent(records: readonly LogRecord[], kind: EventKind): boolean {
  return records.some(({ event }) => event === kind.number);
}

function findLikelyCause(flowRecords: readonly LogRecord[], story: readonly LogRecord[]): string {
  const findLast = (kind: EventKind): LogRecord | undefined =>
    flowRecords.filter(({ event }) => event === kind.number).at(-1);
  const reset = findLast(Events.flowReset);
  if (reset) {
    return `reset by ${reset.source}: ${String(reset.fields['reason'])}, after ${String(reset.fields['refusals'])} refusals${describeRestarts(story)}`;
  }
  const dropped = findLast(Events.packetDropped);
  if (dropped) {
    return `packets dropped by ${dropped.source}: ${String(dropped.fields['reason'])}`;
  }
  if (!hasEvent(flowRecords, Events.requestDelivered)) {
    return `placed, but no request reached a target: the opening packet was lost${describeRestarts(story)}`;
  }
  const delivered = findLast(Events.requestDelivered)!;
  const restart = describeRestarts(story);
  const busy = String(delivered.fields['busy']);
  return restart === ''
    ? `delivered by ${delivered.source} with ${busy} requests at its target: a late or missing answer is due to the target`
    : `delivered by ${delivered.source}${restart}`;
}

/** Names the processes that started within the timeline; empty when there are none. */
function describeRestarts(story: readonly LogRecord[]): string {
  const restarted = story.filter(({ event }) => event === Events.processStarted.number);
  const sources = [...new Set(restarted.map(({ source }) => source))];
  return sources.length === 0 ? '' : `; started meanwhile: ${sources.join(', ')}`;
}
