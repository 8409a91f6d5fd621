/** How often agents report, and to whom. */
import test from 'ava';
import { computeReportInterval, computeSilenceTimeout } from '../src/packets/report-interval';
import { Subscribers } from '../src/packets/subscribers';

test('the report interval grows with the number of agents, within bounds', (t) => {
  t.is(computeReportInterval(0), 250);
  t.is(computeReportInterval(24), 250);
  t.is(computeReportInterval(48), 500);
  t.is(computeReportInterval(9_700), 1_000);
  t.is(computeSilenceTimeout(10), 700);
});

test('each subscriber gets reports at its own interval until it expires', (t) => {
  const subscribers = new Subscribers();
  t.true(subscribers.renew(1, 0, 250));
  t.true(subscribers.renew(2, 0, 500));
  t.false(subscribers.renew(2, 100));
  t.deepEqual(subscribers.takeDue(249), [1]);
  t.deepEqual(subscribers.takeDue(500), [1, 2]);
  t.deepEqual(subscribers.takeDue(5_050), [2]);
  t.deepEqual(subscribers.takeDue(5_300), []);
  t.is(subscribers.count, 0);
});
