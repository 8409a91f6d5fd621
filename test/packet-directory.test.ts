/** Conclusions of a balancer's directory from the reports of agents. */
import test from 'ava';
import { AgentDirectory } from '../src/packets/agent-directory';
import { acceptsNewFlows } from '../src/packets/agent-selection';
import { TargetState } from '../src/packets/packet-messages';
import { createReport } from './support/reports';

const AGENT = 0x0a00_0001_0000;

test('a draining target gets no new flows while its restarted agent does not know its state', (t) => {
  const directory = new AgentDirectory();
  directory.recordReport(AGENT, createReport({ state: TargetState.draining }), 0);
  directory.recordReport(
    AGENT,
    createReport({ state: TargetState.agentRestarting, sequence: 2 }),
    10,
  );
  const entry = directory.recordReport(
    AGENT,
    createReport({ state: TargetState.unknown, run: 2 }),
    300,
  )!;
  t.false(acceptsNewFlows(entry));
  directory.recordReport(AGENT, createReport({ run: 2, sequence: 2 }), 600);
  t.true(acceptsNewFlows(entry));
});

test('a ready target may get new flows while its restarted agent does not know its state', (t) => {
  const directory = new AgentDirectory();
  directory.recordReport(AGENT, createReport(), 0);
  directory.recordReport(
    AGENT,
    createReport({ state: TargetState.agentRestarting, sequence: 2 }),
    10,
  );
  const entry = directory.recordReport(
    AGENT,
    createReport({ state: TargetState.unknown, run: 2 }),
    300,
  )!;
  t.true(acceptsNewFlows(entry));
});

test('an agent is settling until other balancers know it, unless it was known from the start', (t) => {
  const directory = new AgentDirectory();
  const known = directory.upsert({ address: AGENT, service: 's', zone: 'z' }, 4, 1_000);
  directory.markComplete(1_000);
  t.false(directory.isRecentlyAdded(known, 1_000));
  const late = directory.upsert({ address: AGENT + 1, service: 's', zone: 'z' }, 5, 1_100);
  t.true(directory.isRecentlyAdded(late, 3_000));
  t.false(directory.isRecentlyAdded(late, 3_200));
});

test("an agent's own reports take precedence over the entry of an earlier target", (t) => {
  const directory = new AgentDirectory();
  directory.upsert({ address: AGENT, service: 'old', zone: 'z' }, 4, 0);
  directory.recordReport(AGENT, createReport({ service: 'new' }), 10);
  t.is(directory.find(AGENT)!.registryRevision, undefined);
  directory.upsert({ address: AGENT, service: 'old', zone: 'z' }, 4, 20);
  t.is(directory.find(AGENT)!.service, 'new');
});
