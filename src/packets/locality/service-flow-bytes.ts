/** Mean bytes per flow of each service, from the reports of its agents. */
import type { AgentDirectory } from '../agent-directory';

/** Time for which the means are cached: shorter than the report interval of an agent. */
const REFRESH_INTERVAL_MS = 100;
/** Bytes per flow assumed for a service without reports: an answer of a few packets. */
export const DEFAULT_FLOW_BYTES = 5_000;

/** Means of all services, computed together. */
export class ServiceFlowBytes {
  private means: ReadonlyMap<string, number> = new Map();
  private computedAt = -Infinity;

  constructor(private readonly directory: AgentDirectory) {}

  /** Mean bytes per flow of a service; a default until an agent has reported it. */
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
