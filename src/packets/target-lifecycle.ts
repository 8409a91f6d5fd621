/**
 * What an agent knows of its target from the target's own heartbeats.
 *
 * Heartbeats may come late and in another order: within one incarnation the sequence
 * number tells which is newer, and an incarnation that was replaced never comes back.
 */
import { TargetState, type TargetStateValue } from './packet-messages';

const SUPERSEDED_KEPT = 64;

/** One heartbeat of a target. */
export interface TargetHeartbeat {
  /** Names one start of the target. */
  readonly incarnation: string;
  readonly service: string;
  readonly slots: number;
  readonly draining: boolean;
  /** Milliseconds for which the target is still slow after its start. */
  readonly coldLeft: number;
  /** Rises with each heartbeat of an incarnation. */
  readonly sequence: number;
}

/** What a heartbeat changed. */
export type LifecycleChange = 'none' | 'state' | 'incarnation';

/** The target beside one agent. */
export class TargetLifecycle {
  private current: TargetHeartbeat | undefined;
  private left = false;
  private coldUntil = 0;
  private readonly superseded = new Set<string>();

  /** @param service the service that the agent's settings name */
  constructor(private readonly configuredService: string) {}

  get service(): string {
    return this.current?.service ?? this.configuredService;
  }

  get incarnation(): string | undefined {
    return this.current?.incarnation;
  }

  get slots(): number {
    return this.current?.slots ?? 0;
  }

  get state(): TargetStateValue {
    if (this.left) {
      return TargetState.gone;
    }
    if (!this.current) {
      return TargetState.unknown;
    }
    return this.current.draining ? TargetState.draining : TargetState.ready;
  }

  /** Milliseconds for which the target is still slow. */
  coldLeft(now: number): number {
    return Math.max(0, Math.round(this.coldUntil - now));
  }

  /** Takes a heartbeat; one that is late changes nothing. */
  heartbeat(heartbeat: TargetHeartbeat, now: number): LifecycleChange {
    const { current } = this;
    if (this.superseded.has(heartbeat.incarnation)) {
      return 'none';
    }
    const replaced = current?.incarnation !== heartbeat.incarnation;
    if (!replaced && heartbeat.sequence <= current!.sequence) {
      return 'none';
    }
    const before = this.state;
    if (replaced) {
      this.supersede(current?.incarnation);
      this.left = false;
    }
    const draining = heartbeat.draining || (!replaced && current!.draining);
    this.current = { ...heartbeat, draining };
    this.coldUntil = now + heartbeat.coldLeft;
    if (replaced && current !== undefined) {
      return 'incarnation';
    }
    return this.state === before ? 'none' : 'state';
  }

  /** An incarnation has said that it leaves for good. */
  leave(incarnation: string): LifecycleChange {
    if (this.current !== undefined && this.current.incarnation !== incarnation) {
      this.supersede(incarnation);
      return 'none';
    }
    const before = this.state;
    this.supersede(incarnation);
    this.left = true;
    return before === TargetState.gone ? 'none' : 'state';
  }

  private supersede(incarnation: string | undefined): void {
    if (incarnation === undefined) {
      return;
    }
    this.superseded.add(incarnation);
    if (this.superseded.size > SUPERSEDED_KEPT) {
      const [oldest] = this.superseded;
      this.superseded.delete(oldest!);
    }
  }
}
