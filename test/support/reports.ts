/** Reports of agents for tests. */
import {
  PacketMessageType,
  TargetState,
  type ReportMessage,
} from '../../src/packets/packet-messages';

/** Creates a report of an idle, ready target of the map service, with some fields replaced. */
export function createReport(fields: Partial<ReportMessage> = {}): ReportMessage {
  return {
    type: PacketMessageType.report,
    run: 1,
    sequence: 1,
    service: 'map',
    zone: 'north',
    state: TargetState.ready,
    slots: 5,
    busyRequests: 0,
    openFlows: 0,
    answerTime: 50,
    answers: 20,
    targetChanges: 0,
    coldLeft: 0,
    failurePercent: 0,
    flowBytes: 0,
    frameVersion: 2,
    flowKnowledge: 0,
    balancerCount: 1,
    balancers: [],
    ...fields,
  };
}
