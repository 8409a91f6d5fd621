/** Registers an agent, again and again until the registry has it. */
import type { Environment } from '../environment';
import { Events } from '../logging/events';
import type { AgentRegistryPort } from './collection-port';
import type { NodeTimers } from './node-timers';
import type { AgentRecord } from './packet-messages';

const FIRST_RETRY = 500;
const LONGEST_RETRY = 4_000;

/** The registration of one agent. */
export class AgentRegistration {
  constructor(
    private readonly environment: Environment,
    private readonly registry: AgentRegistryPort,
    private readonly timers: NodeTimers,
    /** What to register; read anew for each try. */
    private readonly record: () => AgentRecord,
  ) {}

  start(): void {
    this.register(FIRST_RETRY);
  }

  private register(delay: number): void {
    const record = this.record();
    this.registry.register(record, (result) => {
      if (result.ok) {
        this.environment.report(Events.agentRegistered, { service: record.service });
        return;
      }
      const next = Math.min(delay * 2, LONGEST_RETRY);
      const wait = delay * (0.5 + this.environment.random());
      this.timers.once(wait, () => this.register(next));
    });
  }
}
