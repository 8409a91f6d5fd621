/** Faults of a simulation. Each one takes effect at once and schedules its own end. */
import type { TableRow } from '../core/table';
import { CALLER_ZONE, type NetworkCut } from './simulated-network';
import type { SimulatedBalancer } from './simulated-balancer';
import type { SimulatedTarget } from './simulated-target';
import type { Simulation } from './simulation';

/** Names of faults, as counted in reports. */
export type FaultName =
  | 'balancer-kill'
  | 'balancer-freeze'
  | 'balancer-planned-restart'
  | 'agent-kill'
  | 'agent-freeze'
  | 'agent-planned-restart'
  | 'machine-kill'
  | 'backend-restart'
  | 'backend-shed'
  | 'backend-drain-word'
  | 'machine-list-leaving'
  | 'lying-load'
  | 'network-loss'
  | 'zone-cut'
  | 'one-way-cut'
  | 'target-cut'
  | 'store-down'
  | 'store-slow'
  | 'store-lost-answers'
  | 'table-edit'
  | 'table-drain'
  | 'table-row-removed'
  | 'operator-race'
  | 'acceptor-and-store-die';

const PLANNED_STOP_DELAY_MS = 1_000;

/** Injects faults into one simulation and counts them. */
export class FaultInjector {
  readonly counts = new Map<FaultName, number>();
  private writeCount = 0;

  constructor(private readonly simulation: Simulation) {}

  /** Injects a fault now; `duration` is in milliseconds, ignored by faults without an end. */
  apply(name: FaultName, duration: number): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
    FAULT_ACTIONS[name](this, duration);
  }

  killBalancer(duration: number): void {
    const balancer = this.pickBalancer();
    if (!balancer) {
      return;
    }
    this.simulation.monitor.recordUnplannedFault(balancer);
    balancer.process.kill();
    this.simulation.withdraw(balancer, false);
    this.schedule(duration, () => this.simulation.startBalancer(balancer));
  }

  freezeBalancer(duration: number): void {
    const balancer = this.pickBalancer();
    if (!balancer) {
      return;
    }
    this.simulation.monitor.recordUnplannedFault(balancer);
    balancer.process.freeze();
    this.simulation.withdraw(balancer, false);
    this.schedule(duration, () => {
      if (!balancer.process.isDead) {
        balancer.process.resume();
        this.simulation.monitor.recordUnplannedFault(balancer);
        this.simulation.readmit(balancer);
      }
    });
  }

  /** Withdraws from the fabric, forwards for a while, stops; a new balancer replaces it. */
  restartBalancerGracefully(duration: number): void {
    const balancer = this.pickBalancer();
    if (!balancer) {
      return;
    }
    this.simulation.monitor.recordPlannedStop();
    balancer.isStopping = true;
    balancer.node.beginStop();
    this.simulation.withdraw(balancer, true);
    const { process } = balancer;
    this.schedule(PLANNED_STOP_DELAY_MS, () => {
      if (balancer.process === process && process.isRunning) {
        balancer.node.stop();
        process.kill();
        this.schedule(duration, () => this.simulation.startBalancer(balancer));
      }
    });
  }

  killAgent(duration: number): void {
    const target = this.pickTarget();
    if (!target) {
      return;
    }
    this.simulation.monitor.recordUnplannedFault(target);
    target.agentProcess.kill();
    this.schedule(duration, () => {
      this.simulation.monitor.recordUnplannedFault(target);
      target.startAgent();
    });
  }

  killMachine(duration: number): void {
    const target = this.pickTarget();
    if (!target) {
      return;
    }
    this.simulation.monitor.recordUnplannedFault(target);
    target.agentProcess.kill();
    target.backendProcess.kill();
    target.backend.stop();
    this.schedule(duration, () => {
      this.simulation.monitor.recordUnplannedFault(target);
      target.startBackend();
      target.startAgent();
    });
  }

  freezeAgent(duration: number): void {
    const target = this.pickTarget();
    if (!target) {
      return;
    }
    this.simulation.monitor.recordUnplannedFault(target);
    const { agentProcess } = target;
    agentProcess.freeze();
    this.schedule(duration, () => {
      this.simulation.monitor.recordUnplannedFault(target);
      agentProcess.resume();
    });
  }

  /** Hands all state over to a successor in one step. */
  restartAgentGracefully(): void {
    const target = this.pickTarget();
    if (target) {
      this.simulation.monitor.recordPlannedStop();
      target.handOver();
    }
  }

  restartBackend(): void {
    const target = this.pickTarget();
    if (target) {
      this.simulation.monitor.recordUnplannedFault(target);
      target.startBackend();
    }
  }

  shedLoad(duration: number): void {
    const target = this.pickTarget();
    if (target) {
      const { backend } = target;
      backend.shedding = true;
      this.schedule(duration, () => (backend.shedding = false));
    }
  }

  announceDraining(duration: number): void {
    const target = this.pickTarget();
    if (!target) {
      return;
    }
    const { backend } = target;
    backend.draining = true;
    this.simulation.monitor.recordLeaving(target);
    this.schedule(duration, () => {
      backend.draining = false;
      this.simulation.monitor.recordReturn(target);
    });
  }

  listMachineLeaving(duration: number): void {
    const target = this.pickTarget();
    if (!target) {
      return;
    }
    this.simulation.store.setMachine({ address: target.address, leaving: true });
    let isListed = true;
    this.runWhenStoreReadable(0, () => {
      if (isListed) {
        this.simulation.monitor.recordLeaving(target);
      }
    });
    this.schedule(MACHINE_LIST_REACTION_TIME_MS + duration, () => {
      isListed = false;
      this.simulation.monitor.recordReturn(target);
      this.simulation.store.setMachine({ address: target.address, leaving: false });
    });
  }

  /** Runs the action once the store has been up for the reaction time without interruption. */
  private runWhenStoreReadable(readableFor: number, action: () => void): void {
    if (readableFor >= MACHINE_LIST_REACTION_TIME_MS) {
      action();
      return;
    }
    this.schedule(STORE_CHECK_INTERVAL_MS, () => {
      const next = this.simulation.store.faults.down ? 0 : readableFor + STORE_CHECK_INTERVAL_MS;
      this.runWhenStoreReadable(next, action);
    });
  }

  misreportLoad(duration: number): void {
    const target = this.pickTarget();
    if (target) {
      const { backend } = target;
      backend.reportedLoad = this.simulation.random.next() < 0.5 ? 0 : 1;
      this.schedule(duration, () => (backend.reportedLoad = undefined));
    }
  }

  degradeNetwork(duration: number): void {
    const { quality } = this.simulation.network;
    this.simulation.monitor.recordNetworkFault();
    Object.assign(quality, { loss: 0.05, duplication: 0.05, reordering: 0.1, reorderDelay: 20 });
    this.schedule(duration, () => {
      Object.assign(quality, { loss: 0, duplication: 0, reordering: 0, reorderDelay: 0 });
      this.simulation.monitor.recordNetworkFault();
    });
  }

  cutZones(duration: number, bothWays: boolean): void {
    const { zones } = this.simulation.options.deployment;
    const from = this.simulation.random.pick(zones);
    const others = zones.filter((zone) => zone !== from);
    const outbound = others.map((to) => ({ from, to }));
    const inbound = bothWays ? others.map((to) => ({ from: to, to: from })) : [];
    this.cutNetwork([...outbound, ...inbound], duration);
  }

  /** Cuts one target's machine off from all zones and from callers. */
  cutTarget(duration: number): void {
    const target = this.pickTarget();
    if (!target) {
      return;
    }
    const peers = [...this.simulation.options.deployment.zones, CALLER_ZONE];
    const cuts = peers.flatMap((zone) => [
      { from: target.address, to: zone },
      { from: zone, to: target.address },
    ]);
    this.simulation.monitor.recordUnplannedFault(target);
    cuts.forEach((cut) => this.simulation.network.cut(cut));
    this.schedule(duration, () => {
      cuts.forEach((cut) => this.simulation.network.heal(cut));
      this.simulation.monitor.recordUnplannedFault(target);
    });
  }

  stopStore(duration: number): void {
    this.simulation.store.setDown(true);
    this.schedule(duration, () => this.simulation.store.setDown(false));
  }

  slowStore(duration: number): void {
    this.simulation.store.faults.slowness = 1_000;
    this.schedule(duration, () => (this.simulation.store.faults.slowness = 0));
  }

  /** Store writes take effect but their answers are lost; submits one edit at once. */
  dropStoreAnswers(duration: number): void {
    this.simulation.store.faults.lostAnswers = 1;
    this.editShare(this.simulation.random.pick([1, 2, 3]));
    this.schedule(duration, () => (this.simulation.store.faults.lostAnswers = 0));
  }

  editShare(share: number): void {
    const target = this.pickTarget();
    const acceptor = this.pickBalancer();
    if (target && acceptor) {
      this.editTable(target, acceptor, (row) => ({ ...row, share }));
    }
  }

  drainByTable(duration: number): void {
    const target = this.pickTarget();
    const acceptor = this.pickBalancer();
    if (!target || !acceptor) {
      return;
    }
    this.editTable(target, acceptor, (row) => ({ ...row, share: 0 }));
    this.schedule(duration, () => {
      const laterAcceptor = this.pickBalancer();
      if (laterAcceptor) {
        this.editTable(target, laterAcceptor, (row) => ({ ...row, share: 1 }));
      }
    });
  }

  /** Removes a target's row from the table and restores it after `duration`. */
  removeRow(duration: number): void {
    const target = this.pickTarget();
    const acceptor = this.pickBalancer();
    if (!target || !acceptor) {
      return;
    }
    const service = target.service.name;
    const id = this.createWriteId();
    let removed: TableRow | undefined;
    this.simulation.editTable(
      service,
      (rows) => {
        removed = rows.find((row) => row.target === target.name);
        return rows.filter((row) => row.target !== target.name);
      },
      acceptor,
      id,
    );
    this.schedule(duration, () => {
      const laterAcceptor = this.pickBalancer();
      if (laterAcceptor && removed) {
        const row = removed;
        const restoreRow = (rows: readonly TableRow[]): TableRow[] =>
          rows.some((other) => other.target === row.target) ? [...rows] : [...rows, row];
        this.simulation.editTable(service, restoreRow, laterAcceptor, this.createWriteId());
      }
    });
  }

  /** Two operators edit the same table through two balancers at once. */
  raceOperators(): void {
    const target = this.pickTarget();
    const [first, second] = this.simulation.listRunningBalancers();
    if (target && first && second) {
      this.editTable(target, first, (row) => ({ ...row, share: 2 }));
      this.editTable(target, second, (row) => ({ ...row, share: 3 }));
    }
  }

  /** Stops the acceptor and the store immediately after a table is accepted. */
  killAcceptorAndStore(duration: number): void {
    const target = this.pickTarget();
    const acceptor = this.pickBalancer();
    if (!target || !acceptor) {
      return;
    }
    this.simulation.monitor.onNextAcceptance(() => {
      this.simulation.monitor.recordUnplannedFault(acceptor);
      acceptor.process.kill();
      this.simulation.withdraw(acceptor, false);
      this.stopStore(duration);
      this.schedule(duration, () => this.simulation.startBalancer(acceptor));
    });
    this.editTable(target, acceptor, (row) => ({ ...row, share: row.share === 1 ? 2 : 1 }));
  }

  private editTable(
    target: SimulatedTarget,
    acceptor: SimulatedBalancer,
    change: (row: TableRow) => TableRow,
  ): void {
    const changeRows = (rows: readonly TableRow[]): TableRow[] =>
      rows.map((row) => (row.target === target.name ? change(row) : row));
    this.simulation.editTable(target.service.name, changeRows, acceptor, this.createWriteId());
  }

  private cutNetwork(cuts: readonly NetworkCut[], duration: number): void {
    this.simulation.monitor.recordNetworkFault();
    cuts.forEach((cut) => this.simulation.network.cut(cut));
    this.schedule(duration, () => {
      cuts.forEach((cut) => this.simulation.network.heal(cut));
      this.simulation.monitor.recordNetworkFault();
    });
  }

  private createWriteId(): string {
    this.writeCount++;
    return `simulated-${this.writeCount}`;
  }

  private pickBalancer(): SimulatedBalancer | undefined {
    const usable = this.simulation
      .listRunningBalancers()
      .filter((one) => !one.isStopping && one.node.isReady);
    return usable.length > 1 ? this.simulation.random.pick(usable) : undefined;
  }

  private pickTarget(): SimulatedTarget | undefined {
    const running = this.simulation.targets.filter((target) => target.isRunning);
    return running.length > 0 ? this.simulation.random.pick(running) : undefined;
  }

  private schedule(delay: number, action: () => void): void {
    this.simulation.clock.schedule(delay, action);
  }
}

/** Covers the lag of the machine list, its polling interval and the notice to the agent. */
const MACHINE_LIST_REACTION_TIME_MS = 5_500;
const STORE_CHECK_INTERVAL_MS = 100;

const FAULT_ACTIONS: Readonly<
  Record<FaultName, (faults: FaultInjector, duration: number) => void>
> = {
  'balancer-kill': (faults, duration) => faults.killBalancer(duration),
  'balancer-freeze': (faults, duration) => faults.freezeBalancer(duration),
  'balancer-planned-restart': (faults, duration) => faults.restartBalancerGracefully(duration),
  'agent-kill': (faults, duration) => faults.killAgent(duration),
  'agent-freeze': (faults, duration) => faults.freezeAgent(duration),
  'agent-planned-restart': (faults) => faults.restartAgentGracefully(),
  'machine-kill': (faults, duration) => faults.killMachine(duration),
  'backend-restart': (faults) => faults.restartBackend(),
  'backend-shed': (faults, duration) => faults.shedLoad(duration),
  'backend-drain-word': (faults, duration) => faults.announceDraining(duration),
  'machine-list-leaving': (faults, duration) => faults.listMachineLeaving(duration),
  'lying-load': (faults, duration) => faults.misreportLoad(duration),
  'network-loss': (faults, duration) => faults.degradeNetwork(duration),
  'zone-cut': (faults, duration) => faults.cutZones(duration, true),
  'one-way-cut': (faults, duration) => faults.cutZones(duration, false),
  'target-cut': (faults, duration) => faults.cutTarget(duration),
  'store-down': (faults, duration) => faults.stopStore(duration),
  'store-slow': (faults, duration) => faults.slowStore(duration),
  'store-lost-answers': (faults, duration) => faults.dropStoreAnswers(duration),
  'table-edit': (faults) => faults.editShare(2),
  'table-drain': (faults, duration) => faults.drainByTable(duration),
  'table-row-removed': (faults, duration) => faults.removeRow(duration),
  'operator-race': (faults) => faults.raceOperators(),
  'acceptor-and-store-die': (faults, duration) => faults.killAcceptorAndStore(duration),
};

/** Names of all faults. */
export const FAULT_NAMES = Object.keys(FAULT_ACTIONS) as FaultName[];

/** Planned changes by operators and the platform. */
export const PLANNED_CHANGES: readonly FaultName[] = [
  'balancer-planned-restart',
  'agent-planned-restart',
  'table-edit',
  'table-drain',
  'table-row-removed',
  'backend-drain-word',
  'machine-list-leaving',
  'operator-race',
];
