/** Detection of unreachable zones by missing reports of their agents. */
import test from 'ava';
import { AgentDirectory } from '../src/packets/agent-directory';
import { createReport } from './support/reports';

const NORTH = 'north';
const SOUTH = 'south';

/** Creates a directory of ten agents per zone that all reported at the given time. */
function createDirectory(at: number): AgentDirectory {
  const directory = new AgentDirectory();
  for (let index = 0; index < 20; index++) {
    const zone = index % 2 === 0 ? NORTH : SOUTH;
    directory.recordReport(index + 1, createReport({ zone }), at);
  }
  return directory;
}

// Guards against detours for flows of zones whose reports a balancer did not ask for while relaying.
test('a zone is silent only after its agents were asked for reports', (t) => {
  const directory = createDirectory(0);
  directory.stopListening();
  directory.recordReport(1, createReport({ sequence: 2 }), 20_000);
  t.false(directory.isZoneSilent(SOUTH, 20_010));
  directory.startListening(20_100);
  directory.recordReport(1, createReport({ sequence: 3 }), 20_250);
  t.false(directory.isZoneSilent(SOUTH, 20_300));
  directory.recordReport(1, createReport({ sequence: 4 }), 20_400);
  t.true(directory.isZoneSilent(SOUTH, 20_500));
});
