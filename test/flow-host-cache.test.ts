/** The bound on remembered flows holds over all services together. */
import test from 'ava';
import { FlowCacheBudget, FlowHostCache } from '../src/balancer/flow-host-cache';

const host = { target: 'target-1', endpoint: 1 };

test('all services together keep at most the capacity, and what is used stays', (t) => {
  const budget = new FlowCacheBudget(1_000);
  const services = Array.from({ length: 10 }, () => new FlowHostCache(budget));
  services[0]!.set(7, host);
  for (let caller = 0; caller < 20_000; caller++) {
    services[caller % 10]!.set(1_000 + caller, host);
    t.is(services[0]!.get(7), host);
  }
  const kept = services.reduce((sum, service) => sum + service.size, 0);
  t.true(kept <= 1_000 && kept >= 500, `${kept} kept`);
  t.is(services[1]!.get(1_001), undefined, 'the oldest is forgotten');
});
