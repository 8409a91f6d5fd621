/** Flows that gather at one target between two of its reports. */
import test from 'ava';
import { LoadSpikeDetector } from '../src/packets/choice/load-spike-detector';

const INTERVAL_MS = 750;

test('a target that gets many flows between two reports says so, a few change nothing', (t) => {
  const alarm = new LoadSpikeDetector();
  const isDue = (held: number, now: number): boolean => alarm.shouldReport(held, now, INTERVAL_MS);
  t.false(isDue(16, 0));
  t.false(isDue(23, 200));
  t.true(isDue(24, 210));
  t.false(isDue(40, 250), 'a moment ago');
  t.true(isDue(40, 320));
  t.false(isDue(49, 500), 'a quarter more matters, of many flows');
  t.true(isDue(50, 510));
});

test('what usual reports tell raises no alarm, nor does a line that gets shorter', (t) => {
  const alarm = new LoadSpikeDetector();
  for (let now = 0, held = 0; now < 20 * INTERVAL_MS; now += 100, held += 1) {
    t.false(alarm.shouldReport(held, now, INTERVAL_MS));
  }
  t.false(alarm.shouldReport(10, 20 * INTERVAL_MS, INTERVAL_MS));
  t.false(alarm.shouldReport(2, 20 * INTERVAL_MS + 200, INTERVAL_MS));
  t.true(alarm.shouldReport(10, 20 * INTERVAL_MS + 400, INTERVAL_MS), 'by what was told last');
});
