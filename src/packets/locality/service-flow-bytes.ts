/** What a flow of each service carries, by the reports of the service's agents. */
import type { AgentDirectory } from '../agent-directory';

/** Milliseconds for which a service's mean is kept: shorter than between two reports of an agent. */
const REFRESH_INTERVAL_MS = 100;
/** Bytes assumed of a flow whose service has not told: an answer of a few packets. */
export const DEFAULT_FLOW_BYTES = 5_000;

/** Means of all services, all computed at a time. */
export class ServiceFlowBytes {
  private means: ReadonlyMap<string, number> = new Map();
  private computedAt = -Infinity;

  constructor(private readonly directory: AgentDirectory) {}

  /** Mean bytes of a flow of a service; a default while no agent has told. */
  getMeanBytes(service: string, now: number): number {
    if (now - this.computedAt >= REFRESH_INTERVAL_MS) {
      this.computedAt = now;
      this.means = this.computeMeans();
    }
    return this.means.get(service) ?? DEFAULT_FLOW_BYTES;
  }

  private computeMeans(): Map<string, number> {
    const sums = new Map<string, { bytes: number; agents: number }>();
    for (const { report } of this.directory.getAll()) {
      if (report && report.flowBytes > 0) {
        const sum = sums.get(report.service) ?? { bytes: 0, agents: 0 };
        sum.bytes += report.flowBytes;
        sum.agents++;
        sums.set(report.service, sum);
      }
    }
    return new Map([...sums].map(([service, { bytes, agents }]) => [service, bytes / agents]));
  }
}
