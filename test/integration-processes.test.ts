/** Separate processes behind a fault proxy: loss, duplication, reordering, a killed balancer. */
import test from 'ava';
import { parseEndpoint } from '../src/core/endpoint';
import { UdpSocket } from '../src/runtime/udp-socket';
import { FrameCodec } from '../src/wire/frame-codec';
import { MessageType } from '../src/wire/messages';
import { fetchJson, ProcessCluster, waitFor } from './support/process-cluster';

const FAULTS = { loss: 0.05, duplication: 0.05, reordering: 0.1, reorderDelay: 30 };

interface CallerSummary {
  readonly flowsOpened: number;
  readonly flowsBroken: number;
  readonly answersWhole: number;
  readonly wrongAnswers: number;
  readonly misdelivered: number;
  readonly unanswered: number;
  readonly outcomeUnknown: number;
  readonly refusedAttempts: readonly string[];
}

test('requests are answered despite network faults and a killed balancer', async (t) => {
  const cluster = new ProcessCluster(0, FAULTS);
  try {
    await cluster.start(2, 3);
    const to = ['--to', cluster.serviceAddress, '--service', 'live-map'];
    const mix = ['--feeds', '6', '--reporters', '6', '--transfers', '2', '--seconds', '12'];
    const calling = cluster.spawn('caller', ['standin', 'caller', ...to, ...mix]);
    await cluster.waitForFlows(12);
    cluster.children.get('balancer-2')!.process.kill('SIGKILL');
    t.is(await calling.ended, 0, calling.stderr());

    const summary = JSON.parse(calling.stdout()) as CallerSummary;
    t.true(summary.answersWhole > 30, JSON.stringify(summary));
    t.true(summary.flowsOpened >= 12, JSON.stringify(summary));
    t.is(summary.flowsBroken, 0);
    t.is(summary.wrongAnswers, 0);
    t.is(summary.misdelivered, 0);
    t.is(summary.unanswered, 0);

    const runs = await Promise.all(
      [0, 1, 2].map((index) => fetchJson(cluster.getRecordUrl(index))),
    );
    const attempts = runs.flatMap((run) => run.attempts as string[]);
    const reports = attempts.map((attempt) => attempt.split('#')[0]);
    t.true(reports.length > 10);
    t.is(new Set(reports).size, reports.length, 'no report ran twice');
    const refused = new Set(summary.refusedAttempts);
    t.deepEqual(
      attempts.filter((attempt) => refused.has(attempt)),
      [],
      'no refused attempt was run',
    );
  } finally {
    await cluster.stop();
  }
});

test('a table edit reaches every process and a bad row changes nothing', async (t) => {
  const cluster = new ProcessCluster(1, {
    loss: 0,
    duplication: 0,
    reordering: 0,
    reorderDelay: 0,
  });
  try {
    await cluster.start(2, 3);
    const api = cluster.getBalancerUrl(1);
    const drained = cluster.writeFile(
      'drain.csv',
      cluster.createTable(3, (number) => (number === 2 ? 0 : 1)),
    );
    const diff = await cluster.run('table', 'diff', drained, '--api', api);
    t.regex(diff.stdout, /- live-map,target-2,.*,1,5,2000\n +\+ live-map,target-2,.*,0,5,2000/);
    const put = await cluster.run('table', 'put', drained, '--api', api);
    t.is(put.code, 0, put.stderr);
    t.regex(put.stdout, /live-map: 3 rows accepted at revision \d+, 1 copies confirmed/);

    const bad = cluster.writeFile(
      'bad.csv',
      cluster.createTable(3, (number) => (number === 3 ? -1 : 1)),
    );
    const refused = await cluster.run('table', 'put', bad, '--api', api);
    t.is(refused.code, 1);
    t.regex(refused.stderr, /error 1101 table-invalid/);
    t.regex(refused.stderr, /line 4, column share: must be a number/);

    const got = await cluster.run('table', 'get', '--api', cluster.getBalancerUrl(0));
    t.regex(got.stdout, /live-map,target-2,[\d.]+:7000,0,5,2000/);
    t.regex(got.stdout, /live-map,target-3,[\d.]+:7000,1,5,2000/);

    const stale = await cluster.run('table', 'put', drained, '--base', '1', '--api', api);
    t.is(stale.code, 1);
    t.regex(stale.stderr, /error 1102 table-conflict/);

    cluster.storeProxy!.setCut(true);
    const unknown = await cluster.run('table', 'put', drained, '--api', api);
    t.is(unknown.code, 1);
    t.regex(unknown.stderr, /error 1104 table-outcome-unknown/);
    const writeId = /write id (\S+)/.exec(unknown.stderr)![1]!;
    cluster.storeProxy!.setCut(false);
    let status = '';
    for (let attempt = 0; attempt < 100 && !status.includes('accepted'); attempt++) {
      status = (await cluster.run('table', 'status', '--write', writeId, '--api', api)).stdout;
    }
    t.regex(status, /"state":"accepted"/);
  } finally {
    await cluster.stop();
  }
});

test('feeds and reports continue during a planned restart of an agent', async (t) => {
  const cluster = new ProcessCluster(2, {
    loss: 0,
    duplication: 0,
    reordering: 0,
    reorderDelay: 0,
  });
  try {
    await cluster.start(2, 3);
    const to = ['--to', cluster.serviceAddress, '--service', 'live-map'];
    const mix = ['--feeds', '9', '--reporters', '9', '--seconds', '14'];
    const calling = cluster.spawn('caller', ['standin', 'caller', ...to, ...mix]);
    await cluster.waitForFlows(18);
    const settings = cluster.getPath('agent-0.yaml');
    const before = await fetchJson(cluster.getAgentStatusUrl(0));
    cluster.spawn('successor', ['agent', '--settings', settings, '--take-over']);
    t.is(await cluster.children.get('agent-1')!.ended, 0, 'the predecessor ends by itself');
    await waitFor('the successor serves', async () => {
      const after = await fetchJson(cluster.getAgentStatusUrl(0));
      return getFlowCount(after) >= getFlowCount(before);
    });
    t.true(getFlowCount(before) > 0);
    t.is(await calling.ended, 0, calling.stderr());
    const summary = JSON.parse(calling.stdout()) as CallerSummary;
    t.true(summary.flowsOpened >= 18, JSON.stringify(summary));
    t.is(summary.flowsBroken, 0);
    t.is(summary.unanswered, 0);
    t.is(summary.outcomeUnknown, 0);
    t.is(summary.wrongAnswers, 0);
  } finally {
    await cluster.stop();
  }
});

test('keys are replaced in three steps without a restart; every role answers on its admin address', async (t) => {
  const cluster = new ProcessCluster(3, {
    loss: 0,
    duplication: 0,
    reordering: 0,
    reorderDelay: 0,
  });
  const oldKey = { id: 1, secret: 'integration-test-key' };
  const newKey = { id: 2, secret: 'another-integration-key' };
  try {
    await cluster.start(2, 3);
    const to = ['--to', cluster.serviceAddress, '--service', 'live-map'];
    const mix = ['--feeds', '6', '--reporters', '6', '--seconds', '12'];
    const calling = cluster.spawn('caller', ['standin', 'caller', ...to, ...mix]);
    await cluster.waitForFlows(12);
    for (const keys of [[oldKey, newKey], [newKey, oldKey], [newKey]]) {
      await cluster.replaceKeys(keys);
    }
    t.is(await calling.ended, 0, calling.stderr());
    const summary = JSON.parse(calling.stdout()) as CallerSummary;
    t.true(summary.flowsOpened >= 12, JSON.stringify(summary));
    t.is(summary.flowsBroken + summary.unanswered + summary.wrongAnswers, 0);
    for (const address of [cluster.getAddress(10), cluster.getAddress(20)]) {
      const metrics = await (await fetch(`http://${address}:7080/metrics`)).text();
      t.regex(metrics, /hallhold_events_total/);
      t.regex(metrics, /hallhold_(balancer|agent)_control_bytes_sent \d+/);
      t.regex(metrics, /hallhold_(balancer|agent)_frames_rejected 0/);
      t.is((await fetch(`http://${address}:7080/healthz`)).status, 200);
      t.is((await fetch(`http://${address}:7080/readyz`)).status, 200);
    }
    const openApi = await fetchJson(`${cluster.getBalancerUrl(0)}/openapi.json`);
    t.true(Object.keys(openApi.paths as object).includes('/tables/{service}'));

    const wrongKey = new FrameCodec([{ id: 1, secret: Buffer.from(oldKey.secret) }]);
    const frame = wrongKey.encode({ type: MessageType.tableRequest, haveThrough: 0 });
    const socket = (await UdpSocket.bind('127.0.0.1', 0, () => undefined)).unwrap();
    socket.send(parseEndpoint(`${cluster.getAddress(10)}:7000`).unwrap(), frame);
    socket.send(parseEndpoint(`${cluster.getAddress(10)}:7000`).unwrap(), Buffer.from('noise'));
    await waitFor('frames under the old key are counted', async () => {
      const metrics = await (await fetch(`${cluster.getBalancerUrl(0)}/metrics`)).text();
      return /hallhold_balancer_frames_rejected 2/.test(metrics);
    });
    socket.close();
  } finally {
    await cluster.stop();
  }
});

function getFlowCount(status: Record<string, unknown>): number {
  return (status.statistics as { flows: number }).flows;
}
