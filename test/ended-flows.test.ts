/** The last packets of a flow that its target has ended, when they come through another balancer. */
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

/** An agent and one flow of its target, which ends. */
class EndingFlowHarness extends AgentHarness {
  constructor() {
    super({ earlyStart: true });
  }

  /** The flow opens, carries a request, and is ended by the target after its answer. */
  runFlow(): void {
    this.deliver(Flag.syn, 0);
    this.answer(Flag.syn | Flag.ack, OPENING);
    this.deliver(Flag.ack, OPENING + 1, 'GET');
    this.answer(Flag.ack | Flag.fin, OPENING + 1, ANSWER);
  }

  /** An opening packet is answered, and the target gives the flow up before it has opened. */
  abortOpening(): void {
    this.deliver(Flag.syn, 0);
    this.answer(Flag.syn | Flag.ack, OPENING);
    this.answer(Flag.rst, OPENING + 1);
  }

  /** Another balancer asks this agent and the next one for the flow of a client's packet. */
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
  const scene = new EndingFlowHarness();
  scene.runFlow();
  scene.search(Flag.ack | Flag.fin, ALL_SENT);
  t.is(scene.toTarget.length, 1);
  t.deepEqual(
    scene.toNodes,
    [],
    'nobody else is asked, and no balancer is told that the flow is open',
  );
});

test('data that was sent before the end came goes to the target that has ended the flow', (t) => {
  const scene = new EndingFlowHarness();
  scene.runFlow();
  scene.search(Flag.ack, OPENING + 1, 'GET');
  t.is(scene.toTarget.length, 1);
});

test('packets of a later flow of the same ends, which opened elsewhere, are searched for', (t) => {
  const scene = new EndingFlowHarness();
  for (const acknowledgement of [OPENING, ALL_SENT + 1, OPENING + 2 ** 31 + 7]) {
    scene.runFlow();
    scene.search(Flag.ack, acknowledgement, 'GET');
    t.is(scene.toTarget.length, 0);
    t.like(scene.toNodes[0], { type: PacketMessageType.search, position: 1 });
  }
});

test('a target that has given up an opening gets no packet of the flow that opened elsewhere', (t) => {
  const scene = new EndingFlowHarness();
  scene.abortOpening();
  scene.search(Flag.ack | Flag.fin, OPENING + 5_000);
  t.is(scene.toTarget.length, 0);
  t.like(scene.toNodes[0], { type: PacketMessageType.search, position: 1 });
});
