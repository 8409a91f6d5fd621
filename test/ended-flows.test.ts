/** Last packets of a flow that its target has ended, arriving through another balancer. */
import test from 'ava';
import { packEndpoint } from '../src/core/endpoint';
import { PacketMessageType, SearchPhase } from '../src/packets/packet-messages';
import { AGENT, AgentHarness, BALANCER } from './support/agent-harness';
import { encodePacket, Flag } from './support/packet-cluster';

const NEXT_AGENT = packEndpoint('10.0.0.3', 7_000);
const CLIENT = ['10.9.0.1', 1] as const;
const ROUTE = ['198.18.0.1', 443] as const;
const OPENING = 100;
const ANSWER = 'answer';
/** Acknowledges the opening, the answer and the end of the flow. */
const ALL_SENT = OPENING + 1 + ANSWER.length + 1;

/** An agent and one flow of its target, which the target ends. */
class EndingFlowHarness extends AgentHarness {
  constructor() {
    super({ earlyStart: true });
  }

  /** Opens the flow and sends a request; the target answers it and ends the flow. */
  runFlow(): void {
    this.deliver(Flag.syn, 0);
    this.answer(Flag.syn | Flag.ack, OPENING);
    this.deliver(Flag.ack, OPENING + 1, 'GET');
    this.answer(Flag.ack | Flag.fin, OPENING + 1, ANSWER);
  }

  /** Sends an opening packet; the target answers it and resets the flow before it is open. */
  abortOpening(): void {
    this.deliver(Flag.syn, 0);
    this.answer(Flag.syn | Flag.ack, OPENING);
    this.answer(Flag.rst, OPENING + 1);
  }

  /** Another balancer searches for the flow of a client's packet at this agent and the next one. */
  search(flags: number, acknowledgement: number, data = ''): void {
    const payload = encodePacket(CLIENT, ROUTE, flags, 8, acknowledgement, data);
    const message = {
      type: PacketMessageType.search,
      searchId: 1,
      balancer: BALANCER,
      phase: SearchPhase.queryOnly,
      position: 0,
      agents: [AGENT, NEXT_AGENT],
      services: ['map'],
      payload,
    } as const;
    this.toTarget.length = 0;
    this.toNodes.length = 0;
    this.receive(message);
  }

  private deliver(flags: number, acknowledgement: number, data = ''): void {
    const payload = encodePacket(CLIENT, ROUTE, flags, 7, acknowledgement, data);
    const type = PacketMessageType.deliver;
    this.receive({ type, searchId: 1, services: ['map'], payload });
  }

  private answer(flags: number, sequence: number, data = ''): void {
    this.agent.handleTargetDatagram(encodePacket(ROUTE, CLIENT, flags, sequence, 7, data));
  }
}

// Guards against searches through all targets for the last packets of flows that have ended.
test('the last packet of an ended flow goes to the target that has ended it', (t) => {
  const harness = new EndingFlowHarness();
  harness.runFlow();
  harness.search(Flag.ack | Flag.fin, ALL_SENT);
  t.is(harness.toTarget.length, 1);
  t.deepEqual(
    harness.toNodes,
    [],
    'no other agent is queried, and no balancer is notified that the flow is open',
  );
});

test('data that was sent before the end arrived goes to the target that has ended the flow', (t) => {
  const harness = new EndingFlowHarness();
  harness.runFlow();
  harness.search(Flag.ack, OPENING + 1, 'GET');
  t.is(harness.toTarget.length, 1);
});

test('packets of a later flow of the same endpoints, which opened elsewhere, are searched for', (t) => {
  const harness = new EndingFlowHarness();
  for (const acknowledgement of [OPENING, ALL_SENT + 1, OPENING + 2 ** 31 + 7]) {
    harness.runFlow();
    harness.search(Flag.ack, acknowledgement, 'GET');
    t.is(harness.toTarget.length, 0);
    t.like(harness.toNodes[0], { type: PacketMessageType.search, position: 1 });
  }
});

test('a target that has reset a new flow gets no packet of the flow that opened elsewhere', (t) => {
  const harness = new EndingFlowHarness();
  harness.abortOpening();
  harness.search(Flag.ack | Flag.fin, OPENING + 5_000);
  t.is(harness.toTarget.length, 0);
  t.like(harness.toNodes[0], { type: PacketMessageType.search, position: 1 });
});
