/** What can befall a simulated world. Each fault is an action now, with its end scheduled. */
import type { TableRow } from '../core/table';
import { CALLER_ZONE, type NetworkCut } from './simulated-network';
import type { SimulatedBalancer } from './simulated-balancer';
import type { SimulatedTarget } from './simulated-target';
import type { SimulatedWorld } from './simulated-world';

/** Names of faults, as reports count them. */
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

const QUIET_BEFORE_STOP = 1_000;

/** Faults acting on one world, counted. */
export class Faults {
  readonly counts = new Map<FaultName, number>();
  private writes = 0;

  constructor(private readonly world: SimulatedWorld) {}

  /** Applies a fault now; `duration` in milliseconds for those that end. */
  apply(name: FaultName, duration: number): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
    FAULT_ACTIONS[name](this, duration);
  }

  killBalancer(duration: number): void {
    const balancer = this.pickBalancer();
    if (!balancer) {
      return;
    }
    this.world.watcher.unplannedFault(balancer);
    balancer.process.kill();
    this.world.withdraw(balancer, false);
    this.later(duration, () => this.world.startBalancer(balancer));
  }

  freezeBalancer(duration: number): void {
    const balancer = this.pickBalancer();
    if (!balancer) {
      return;
    }
    this.world.watcher.unplannedFault(balancer);
    balancer.process.freeze();
    this.world.withdraw(balancer, false);
    this.later(duration, () => {
      if (!balancer.process.isDead) {
        balancer.process.wake();
        this.world.watcher.unplannedFault(balancer);
        this.world.sprayAgain(balancer);
      }
    });
  }

  /** Leaves the fabric, forwards until quiet, ends; a fresh one takes its place. */
  restartBalancerAsPlanned(duration: number): void {
    const balancer = this.pickBalancer();
    if (!balancer) {
      return;
    }
    this.world.watcher.plannedStop();
    balancer.stopping = true;
    balancer.node.beginStop();
    this.world.withdraw(balancer, true);
    const { process } = balancer;
    this.later(QUIET_BEFORE_STOP, () => {
      if (balancer.process === process && process.isRunning) {
        balancer.node.stop();
        process.kill();
        this.later(duration, () => this.world.startBalancer(balancer));
      }
    });
  }

  killAgent(duration: number): void {
    const target = this.pickTarget();
    if (!target) {
      return;
    }
    this.world.watcher.unplannedFault(target);
    target.agentProcess.kill();
    this.later(duration, () => {
      this.world.watcher.unplannedFault(target);
      target.startAgent();
    });
  }

  killMachine(duration: number): void {
    const target = this.pickTarget();
    if (!target) {
      return;
    }
    this.world.watcher.unplannedFault(target);
    target.agentProcess.kill();
    target.backendProcess.kill();
    target.backend.stop();
    this.later(duration, () => {
      this.world.watcher.unplannedFault(target);
      target.startBackend();
      target.startAgent();
    });
  }

  freezeAgent(duration: number): void {
    const target = this.pickTarget();
    if (!target) {
      return;
    }
    this.world.watcher.unplannedFault(target);
    const { agentProcess } = target;
    agentProcess.freeze();
    this.later(duration, () => {
      this.world.watcher.unplannedFault(target);
      agentProcess.wake();
    });
  }

  /** Hands everything over to a successor in one step. */
  restartAgentAsPlanned(): void {
    const target = this.pickTarget();
    if (target) {
      this.world.watcher.plannedStop();
      target.handOver();
    }
  }

  restartBackend(): void {
    const target = this.pickTarget();
    if (target) {
      this.world.watcher.unplannedFault(target);
      target.startBackend();
    }
  }

  shed(duration: number): void {
    const target = this.pickTarget();
    if (target) {
      const { backend } = target;
      backend.shedding = true;
      this.later(duration, () => (backend.shedding = false));
    }
  }

  sayDraining(duration: number): void {
    const target = this.pickTarget();
    if (!target) {
      return;
    }
    const { backend } = target;
    backend.draining = true;
    this.world.watcher.leaving(target);
    this.later(duration, () => {
      backend.draining = false;
      this.world.watcher.returned(target);
    });
  }

  listMachineLeaving(duration: number): void {
    const target = this.pickTarget();
    if (!target) {
      return;
    }
    this.world.store.setMachine({ address: target.address, leaving: true });
    let listed = true;
    this.whenReadable(0, () => {
      if (listed) {
        this.world.watcher.leaving(target);
      }
    });
    this.later(MACHINE_LIST_REACTION + duration, () => {
      listed = false;
      this.world.watcher.returned(target);
      this.world.store.setMachine({ address: target.address, leaving: false });
    });
  }

  /** Acts once the store has answered for the reaction time without a break. */
  private whenReadable(readableFor: number, act: () => void): void {
    if (readableFor >= MACHINE_LIST_REACTION) {
      act();
      return;
    }
    this.later(READABLE_CHECK_INTERVAL, () => {
      const next = this.world.store.faults.down ? 0 : readableFor + READABLE_CHECK_INTERVAL;
      this.whenReadable(next, act);
    });
  }

  lieAboutLoad(duration: number): void {
    const target = this.pickTarget();
    if (target) {
      const { backend } = target;
      backend.reportedLoad = this.world.random.next() < 0.5 ? 0 : 1;
      this.later(duration, () => (backend.reportedLoad = undefined));
    }
  }

  disturbNetwork(duration: number): void {
    const { quality } = this.world.network;
    this.world.watcher.networkFault();
    Object.assign(quality, { loss: 0.05, duplication: 0.05, reordering: 0.1, reorderDelay: 20 });
    this.later(duration, () => {
      Object.assign(quality, { loss: 0, duplication: 0, reordering: 0, reorderDelay: 0 });
      this.world.watcher.networkFault();
    });
  }

  cutZones(duration: number, bothWays: boolean): void {
    const { zones } = this.world.options.deployment;
    const from = this.world.random.pick(zones);
    const others = zones.filter((zone) => zone !== from);
    const forth = others.map((to) => ({ from, to }));
    const back = bothWays ? others.map((to) => ({ from: to, to: from })) : [];
    this.cut([...forth, ...back], duration);
  }

  /** Cuts one target's machine off from everything, callers included. */
  cutTarget(duration: number): void {
    const target = this.pickTarget();
    if (!target) {
      return;
    }
    const places = [...this.world.options.deployment.zones, CALLER_ZONE];
    const cuts = places.flatMap((zone) => [
      { from: target.address, to: zone },
      { from: zone, to: target.address },
    ]);
    this.world.watcher.unplannedFault(target);
    cuts.forEach((cut) => this.world.network.cut(cut));
    this.later(duration, () => {
      cuts.forEach((cut) => this.world.network.heal(cut));
      this.world.watcher.unplannedFault(target);
    });
  }

  takeStoreDown(duration: number): void {
    this.world.store.setDown(true);
    this.later(duration, () => this.world.store.setDown(false));
  }

  slowStore(duration: number): void {
    this.world.store.faults.slowness = 1_000;
    this.later(duration, () => (this.world.store.faults.slowness = 0));
  }

  /** Writes take effect while their answers are lost; one is made at once. */
  loseStoreAnswers(duration: number): void {
    this.world.store.faults.lostAnswers = 1;
    this.editShare(this.world.random.pick([1, 2, 3]));
    this.later(duration, () => (this.world.store.faults.lostAnswers = 0));
  }

  editShare(share: number): void {
    const target = this.pickTarget();
    const acceptor = this.pickBalancer();
    if (target && acceptor) {
      this.edit(target, acceptor, (row) => ({ ...row, share }));
    }
  }

  drainByTable(duration: number): void {
    const target = this.pickTarget();
    const acceptor = this.pickBalancer();
    if (!target || !acceptor) {
      return;
    }
    this.edit(target, acceptor, (row) => ({ ...row, share: 0 }));
    this.later(duration, () => {
      const later = this.pickBalancer();
      if (later) {
        this.edit(target, later, (row) => ({ ...row, share: 1 }));
      }
    });
  }

  /** Takes a target's row out of the table and puts it back later. */
  removeRow(duration: number): void {
    const target = this.pickTarget();
    const acceptor = this.pickBalancer();
    if (!target || !acceptor) {
      return;
    }
    const service = target.service.name;
    const id = this.writeId();
    let removed: TableRow | undefined;
    this.world.edit(
      service,
      (rows) => {
        removed = rows.find((row) => row.target === target.name);
        return rows.filter((row) => row.target !== target.name);
      },
      acceptor,
      id,
    );
    this.later(duration, () => {
      const later = this.pickBalancer();
      if (later && removed) {
        const row = removed;
        const putBack = (rows: readonly TableRow[]): TableRow[] =>
          rows.some((one) => one.target === row.target) ? [...rows] : [...rows, row];
        this.world.edit(service, putBack, later, this.writeId());
      }
    });
  }

  /** Two operators edit the same table through two balancers at once. */
  raceOperators(): void {
    const target = this.pickTarget();
    const [first, second] = this.world.runningBalancers();
    if (target && first && second) {
      this.edit(target, first, (row) => ({ ...row, share: 2 }));
      this.edit(target, second, (row) => ({ ...row, share: 3 }));
    }
  }

  /** A table is accepted, and its acceptor and the store die in the next moment. */
  acceptThenDie(duration: number): void {
    const target = this.pickTarget();
    const acceptor = this.pickBalancer();
    if (!target || !acceptor) {
      return;
    }
    this.world.watcher.onNextAcceptance(() => {
      this.world.watcher.unplannedFault(acceptor);
      acceptor.process.kill();
      this.world.withdraw(acceptor, false);
      this.takeStoreDown(duration);
      this.later(duration, () => this.world.startBalancer(acceptor));
    });
    this.edit(target, acceptor, (row) => ({ ...row, share: row.share === 1 ? 2 : 1 }));
  }

  private edit(
    target: SimulatedTarget,
    acceptor: SimulatedBalancer,
    change: (row: TableRow) => TableRow,
  ): void {
    const changeRows = (rows: readonly TableRow[]): TableRow[] =>
      rows.map((row) => (row.target === target.name ? change(row) : row));
    this.world.edit(target.service.name, changeRows, acceptor, this.writeId());
  }

  private cut(cuts: readonly NetworkCut[], duration: number): void {
    this.world.watcher.networkFault();
    cuts.forEach((cut) => this.world.network.cut(cut));
    this.later(duration, () => {
      cuts.forEach((cut) => this.world.network.heal(cut));
      this.world.watcher.networkFault();
    });
  }

  private writeId(): string {
    this.writes++;
    return `simulated-${this.writes}`;
  }

  private pickBalancer(): SimulatedBalancer | undefined {
    const usable = this.world.runningBalancers().filter((one) => !one.stopping && one.node.isReady);
    return usable.length > 1 ? this.world.random.pick(usable) : undefined;
  }

  private pickTarget(): SimulatedTarget | undefined {
    const running = this.world.targets.filter((target) => target.isRunning);
    return running.length > 0 ? this.world.random.pick(running) : undefined;
  }

  private later(delay: number, action: () => void): void {
    this.world.clock.schedule(delay, action);
  }
}

/** The machine list lags, is polled, and its notice must reach the agent. */
const MACHINE_LIST_REACTION = 5_500;
const READABLE_CHECK_INTERVAL = 100;

const FAULT_ACTIONS: Readonly<Record<FaultName, (faults: Faults, duration: number) => void>> = {
  'balancer-kill': (faults, duration) => faults.killBalancer(duration),
  'balancer-freeze': (faults, duration) => faults.freezeBalancer(duration),
  'balancer-planned-restart': (faults, duration) => faults.restartBalancerAsPlanned(duration),
  'agent-kill': (faults, duration) => faults.killAgent(duration),
  'agent-freeze': (faults, duration) => faults.freezeAgent(duration),
  'agent-planned-restart': (faults) => faults.restartAgentAsPlanned(),
  'machine-kill': (faults, duration) => faults.killMachine(duration),
  'backend-restart': (faults) => faults.restartBackend(),
  'backend-shed': (faults, duration) => faults.shed(duration),
  'backend-drain-word': (faults, duration) => faults.sayDraining(duration),
  'machine-list-leaving': (faults, duration) => faults.listMachineLeaving(duration),
  'lying-load': (faults, duration) => faults.lieAboutLoad(duration),
  'network-loss': (faults, duration) => faults.disturbNetwork(duration),
  'zone-cut': (faults, duration) => faults.cutZones(duration, true),
  'one-way-cut': (faults, duration) => faults.cutZones(duration, false),
  'target-cut': (faults, duration) => faults.cutTarget(duration),
  'store-down': (faults, duration) => faults.takeStoreDown(duration),
  'store-slow': (faults, duration) => faults.slowStore(duration),
  'store-lost-answers': (faults, duration) => faults.loseStoreAnswers(duration),
  'table-edit': (faults) => faults.editShare(2),
  'table-drain': (faults, duration) => faults.drainByTable(duration),
  'table-row-removed': (faults, duration) => faults.removeRow(duration),
  'operator-race': (faults) => faults.raceOperators(),
  'acceptor-and-store-die': (faults, duration) => faults.acceptThenDie(duration),
};

/** Every fault there is. */
export const FAULT_NAMES = Object.keys(FAULT_ACTIONS) as FaultName[];

/** Changes that operators and platform make on purpose. */
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
