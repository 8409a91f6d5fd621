/** `hallhold explain` finds the cause of a failed request from logs alone. */
import test from 'ava';
import { explain } from '../src/explain/explanation';
import { parseLog } from '../src/explain/log-reader';

function createLogLine(
  second: number,
  source: string,
  event: number,
  message: string,
  fields = {},
): string {
  const timestamp = new Date(1_780_000_000_000 + second * 1_000).toISOString();
  return JSON.stringify({ event, message, level: 'info', source, timestamp, ...fields });
}

const FLOW = { client: '100.64.0.7:40001', destination: '198.18.0.1:443' };

test('a request id is resolved to its flow, the reset and the restart before it', (t) => {
  const log = [
    'built in 2 s',
    `  0.1 front ${createLogLine(0, 'front', 2704, 'flow-placed', { ...FLOW, agent: '10.0.0.1:7' })}`,
    `  0.2 side ${createLogLine(0.1, 'side', 2706, 'request-delivered', { ...FLOW, request: 'abc', busy: 2 })}`,
    createLogLine(1, 'side', 2001, 'process-started', { role: 'agent' }),
    createLogLine(0.3, 'other', 2706, 'request-delivered', {
      client: '100.64.0.8:1',
      request: 'xyz',
    }),
    `${createLogLine(2, 'front', 2705, 'flow-reset', { ...FLOW, reason: 'no agent holds the flow', refusals: 4 })}`,
    '{"cut',
  ].join('\n');
  const { client, story, cause } = explain(parseLog(log), 'abc');
  t.is(client, FLOW.client);
  t.deepEqual(
    story.map(({ message }) => message),
    ['flow-placed', 'request-delivered', 'process-started', 'flow-reset'],
  );
  t.regex(
    cause,
    /reset by front: no agent holds the flow, after 4 refusals; started meanwhile: side/,
  );
});

test('a delivered request without a restart is attributed to the target', (t) => {
  const log = createLogLine(0, 'side', 2706, 'request-delivered', {
    ...FLOW,
    request: 'abc',
    busy: 19,
  });
  t.regex(explain(parseLog(log), FLOW.client).cause, /19 requests at its target/);
});

test('an id that is in no log gives no client', (t) => {
  t.is(explain([], 'nothing').client, undefined);
});
