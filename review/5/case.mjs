import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Bounds, now, runCase, sleep } from '../kit-2/deployment.mjs';
import { Target } from '../kit-2/target.mjs';

const MAP = ['127.198.0.1', 8443];
const TILES = ['127.198.0.2', 8443];
const MOVED = ['127.198.0.3', 8443];
/** Connections that carry nothing for so long lose their way, as at a firewall that forgets them. */
const QUIET_MS = 1_500;
const OLDEST_WATCH_MS = 3_000;
const SEARCH_MS = 30_000;
const AFTER_BOUND_MS = 3_500;
const ASK_INTERVAL_MS = 100;

const sides = [
  { zone: 'zone-1', service: 'map' },
  { zone: 'zone-2', service: 'map' },
  { zone: 'zone-1', service: 'tiles' },
  { zone: 'zone-2', service: 'tiles' },
];

/** Waits for a moment at which all watches have begun within the last three seconds. */
async function waitForWatches(proxy) {
  const deadline = now() + SEARCH_MS;
  while (now() < deadline) {
    const ages = [...proxy.connections]
      .filter(({ call, isSilent }) => !isSilent && call.includes('watch='))
      .map(({ usedAt }) => now() - usedAt);
    if (ages.length > 0 && Math.min(...ages) >= QUIET_MS && Math.max(...ages) <= OLDEST_WATCH_MS) {
      return;
    }
    await sleep(20);
  }
  throw new Error('no such moment');
}

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  { fronts: ['zone-1', 'zone-2'], sides },
  async (deployment, isTroubled) => {
    const { clients, log, proxy } = deployment;
    const always = { [MAP.join(':')]: 'map', [TILES.join(':')]: 'tiles' };
    deployment.configure({ ...always, [MOVED.join(':')]: 'map' });
    const targets = deployment.sides.map(
      (machine, index) =>
        new Target(
          machine,
          { service: machine.service, id: `i-${index + 1}`, heartbeatMs: Bounds.heartbeat },
          log,
        ),
    );
    await Promise.all(targets.map((target) => target.start()));
    await deployment.waitReady();
    await sleep(5_000);

    await waitForWatches(proxy);
    if (isTroubled) {
      proxy
        .silenceQuiet(QUIET_MS)
        .forEach((call) => log('connection goes silent', { call: `"${call}"` }));
    }
    proxy.listOpen().forEach((call) => log('connection stays', { call: `"${call}"` }));
    await sleep(Bounds.contact + 600);

    const acknowledgedAt = deployment.configure({ ...always, [MOVED.join(':')]: 'tiles' });
    const end = acknowledgedAt + Bounds.apply + AFTER_BOUND_MS;
    const asked = [];
    while (now() < end) {
      const sentAfter = now() - acknowledgedAt;
      asked.push(clients.ask(MOVED).then((answer) => ({ ...answer, sentAfter })));
      await sleep(ASK_INTERVAL_MS);
    }
    const answers = await Promise.all(asked);
    const services = new Map(targets.map(({ options }) => [options.id, options.service]));
    return answers
      .filter(({ sentAfter, stamp }) => sentAfter > Bounds.apply && services.get(stamp) === 'map')
      .map(
        ({ id, sentAfter, stamp }) =>
          `CONFIG: ${id}, sent ${Math.round(sentAfter)} ms after the acknowledgement, was run by ${stamp} of the old service`,
      );
  },
);
