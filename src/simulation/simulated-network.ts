/** Simulated network: delays by zone, loss, duplication, reordering and partitions. */
import type { Endpoint } from '../environment';
import type { SimulatedProcess } from './simulated-process';
import type { SeededRandom } from './seeded-random';
import type { VirtualClock } from './virtual-clock';

const SAME_MACHINE_DELAY_MS = 0.02;
const SAME_ZONE_DELAY_MS = 0.2;
const JITTER_FRACTION = 0.1;

/** Zone name used for callers. */
export const CALLER_ZONE = 'callers';

/** Impairments of all datagrams between machines; probabilities from 0 to 1. */
export interface NetworkQuality {
  loss: number;
  duplication: number;
  reordering: number;
  /** Maximum additional delay of a reordered datagram, in milliseconds. */
  reorderDelay: number;
}

/** One-way partition. Ends are names of processes, machines or zones. */
export interface NetworkCut {
  readonly from: string;
  readonly to: string;
}

/** One-way delays, in milliseconds. */
export interface NetworkDelays {
  readonly zoneDelay: number;
  readonly callerDelay: number;
}

interface Binding {
  readonly process: SimulatedProcess;
  readonly handler: (payload: Buffer, from: Endpoint) => void;
}

/** Called for every delivered datagram, for the digest and traces. */
export type DeliveryObserver = (from: Endpoint, to: Endpoint, payload: Buffer) => void;

/** Delivers datagrams between bound endpoints. */
export class SimulatedNetwork {
  readonly quality: NetworkQuality = { loss: 0, duplication: 0, reordering: 0, reorderDelay: 0 };
  private readonly bindings = new Map<Endpoint, Binding>();
  private readonly cuts = new Set<NetworkCut>();

  constructor(
    private readonly clock: VirtualClock,
    private readonly random: SeededRandom,
    private readonly delays: NetworkDelays,
    private readonly onDelivery: DeliveryObserver,
  ) {}

  /** Binds an endpoint; the last binding wins, as when an address is reassigned. */
  bind(
    endpoint: Endpoint,
    process: SimulatedProcess,
    handler: (payload: Buffer, from: Endpoint) => void,
  ): void {
    this.bindings.set(endpoint, { process, handler });
  }

  /** Starts a partition; {@link heal} ends it. */
  cut(cut: NetworkCut): void {
    this.cuts.add(cut);
  }

  heal(cut: NetworkCut): void {
    this.cuts.delete(cut);
  }

  get hasCuts(): boolean {
    return this.cuts.size > 0;
  }

  /** Sends a datagram; loss, duplication and delay are drawn here. */
  send(sender: SimulatedProcess, from: Endpoint, to: Endpoint, payload: Buffer): void {
    const receiver = this.bindings.get(to)?.process;
    if (!receiver || this.isCut(sender, receiver)) {
      return;
    }
    const isLocal = sender.machine === receiver.machine;
    if (!isLocal && this.random.next() < this.quality.loss) {
      return;
    }
    this.scheduleDelivery(sender, receiver, from, to, payload);
    if (!isLocal && this.random.next() < this.quality.duplication) {
      this.scheduleDelivery(sender, receiver, from, to, payload);
    }
  }

  /** Whether a partition blocks datagrams from sender to receiver. */
  isCut(sender: SimulatedProcess, receiver: SimulatedProcess): boolean {
    for (const { from, to } of this.cuts) {
      if (isLocatedAt(from, sender) && isLocatedAt(to, receiver)) {
        return true;
      }
    }
    return false;
  }

  private scheduleDelivery(
    sender: SimulatedProcess,
    receiver: SimulatedProcess,
    from: Endpoint,
    to: Endpoint,
    payload: Buffer,
  ): void {
    this.clock.schedule(this.drawDelay(sender, receiver), () => {
      const binding = this.bindings.get(to);
      if (binding && !binding.process.isDead && !this.isCut(sender, binding.process)) {
        this.onDelivery(from, to, payload);
        binding.process.deliver(binding.handler, payload, from);
      }
    });
  }

  private drawDelay(sender: SimulatedProcess, receiver: SimulatedProcess): number {
    if (sender.machine === receiver.machine) {
      return SAME_MACHINE_DELAY_MS;
    }
    const base = this.computeBaseDelay(sender.zone, receiver.zone);
    const isReordered = this.random.next() < this.quality.reordering;
    const reordering = isReordered ? this.random.next() * this.quality.reorderDelay : 0;
    return base * (1 + this.random.next() * JITTER_FRACTION) + reordering;
  }

  private computeBaseDelay(from: string, to: string): number {
    if (from === CALLER_ZONE || to === CALLER_ZONE) {
      return this.delays.callerDelay;
    }
    return from === to ? SAME_ZONE_DELAY_MS : this.delays.zoneDelay;
  }
}

function isLocatedAt(location: string, process: SimulatedProcess): boolean {
  return location === process.name || location === process.machine || location === process.zone;
}
