/** Early reports of flows that pile up at one target between two of its regular reports. */
import test from 'ava';
import { LoadSpikeDetector } from '../src/packets/choice/load-spike-detector';

const INTERVAL_MS = 750;

test('many new flows between two reports are reported early, a few are not', (t) => {
  const detector = new LoadSpikeDetector();
  const shouldReport = (load: number, now: number): boolean =>
    detector.shouldReport(load, now, INTERVAL_MS);
  t.false(shouldReport(16, 0));
  t.false(shouldReport(23, 200));
  t.true(shouldReport(24, 210));
  t.false(shouldReport(40, 250), 'within the minimum interval');
  t.true(shouldReport(40, 320));
  t.false(shouldReport(49, 500), 'many flows must rise by a quarter');
  t.true(shouldReport(50, 510));
});

test('neither regular reports nor a shrinking queue cause an early report', (t) => {
  const detector = new LoadSpikeDetector();
  for (let now = 0, load = 0; now < 20 * INTERVAL_MS; now += 100, load += 1) {
    t.false(detector.shouldReport(load, now, INTERVAL_MS));
  }
  t.false(detector.shouldReport(10, 20 * INTERVAL_MS, INTERVAL_MS));
  t.false(detector.shouldReport(2, 20 * INTERVAL_MS + 200, INTERVAL_MS));
  t.true(
    detector.shouldReport(10, 20 * INTERVAL_MS + 400, INTERVAL_MS),
    'relative to the last reported load',
  );
});
