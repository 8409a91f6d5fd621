/** The bound on cached flows applies to all services together. */
import test from 'ava';
import { FlowCacheBudget, FlowHostCache } from '../src/balancer/flow-host-cache';

const host = { target: 'target-1', endpoint: 1 };

test('all services together cache at most the capacity, and flows in use stay cached', (t) => {
  const budget = new FlowCacheBudget(1_000);
  const caches = Array.from({ length: 10 }, () => new FlowHostCache(budget));
  caches[0]!.set(7, host);
  for (let caller = 0; caller < 20_000; caller++) {
    caches[caller % 10]!.set(1_000 + caller, host);
    t.is(caches[0]!.get(7), host);
  }
  const cachedFlows = caches.reduce((sum, cache) => sum + cache.size, 0);
  t.true(cachedFlows <= 1_000 && cachedFlows >= 500, `${cachedFlows} flows cached`);
  t.is(caches[1]!.get(1_001), undefined, 'the oldest flow is evicted');
});
