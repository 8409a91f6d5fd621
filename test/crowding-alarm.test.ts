/** Flows that gather at one target between two of its reports. */
import test from 'ava';
import { CrowdingAlarm } from '../src/packets/choice/crowding-alarm';

const INTERVAL = 750;

test('a target that gets many flows between two reports says so, a few change nothing', (t) => {
  const alarm = new CrowdingAlarm();
  const isDue = (held: number, now: number): boolean => alarm.isDue(held, now, INTERVAL);
  t.false(isDue(16, 0));
  t.false(isDue(23, 200));
  t.true(isDue(24, 210));
  t.false(isDue(40, 250), 'a moment ago');
  t.true(isDue(40, 320));
  t.false(isDue(49, 500), 'a quarter more matters, of many flows');
  t.true(isDue(50, 510));
});

test('what usual reports tell raises no alarm, nor does a line that gets shorter', (t) => {
  const alarm = new CrowdingAlarm();
  for (let now = 0, held = 0; now < 20 * INTERVAL; now += 100, held += 1) {
    t.false(alarm.isDue(held, now, INTERVAL));
  }
  t.false(alarm.isDue(10, 20 * INTERVAL, INTERVAL));
  t.false(alarm.isDue(2, 20 * INTERVAL + 200, INTERVAL));
  t.true(alarm.isDue(10, 20 * INTERVAL + 400, INTERVAL), 'by what was told last');
});
