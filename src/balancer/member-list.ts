/** Records of all known balancers, and the rule by which a newer record replaces an older one. */
import { DEAD_MEMBER_RETENTION_MS } from '../core/timing';
import { MemberState, type MemberRecord, type MemberStateValue } from '../wire/messages';

const STATE_RANK: Record<MemberStateValue, number> = {
  [MemberState.alive]: 0,
  [MemberState.suspect]: 1,
  [MemberState.leaving]: 2,
  [MemberState.dead]: 3,
};

interface KnownMember {
  record: MemberRecord;
  changedAt: number;
}

/** Known balancers by name, without this one. */
export class MemberList {
  private readonly members = new Map<string, KnownMember>();
  /** Names of members that are probed, as an array for random selection. */
  private liveNames: string[] = [];
  private areLiveNamesStale = false;

  get(name: string): MemberRecord | undefined {
    return this.members.get(name)?.record;
  }

  /** Applies a record if it is newer than the known one; returns true if it was applied. */
  apply(record: MemberRecord, now: number): boolean {
    const known = this.members.get(record.name);
    if (known && !supersedes(record, known.record)) {
      return false;
    }
    const wasLive = known !== undefined && isLive(known.record);
    this.members.set(record.name, { record, changedAt: now });
    if (wasLive !== isLive(record)) {
      this.areLiveNamesStale = true;
    }
    return true;
  }

  /** Members that are not dead. */
  listLive(): MemberRecord[] {
    return this.getLiveNames().map((name) => this.members.get(name)!.record);
  }

  get liveCount(): number {
    return this.getLiveNames().length;
  }

  /** A random live member, or undefined if there is none; `random` is in [0, 1). */
  pickRandomLive(random: number): MemberRecord | undefined {
    const names = this.getLiveNames();
    const name = names[Math.floor(random * names.length)];
    return name === undefined ? undefined : this.members.get(name)!.record;
  }

  /** A random dead member, which may be reachable again after a partition. */
  pickRandomDead(random: number): MemberRecord | undefined {
    const dead = this.listAll().filter((record) => record.state === MemberState.dead);
    return dead[Math.floor(random * dead.length)];
  }

  listAll(): MemberRecord[] {
    return [...this.members.values()].map(({ record }) => record);
  }

  /** Removes members that have been dead for longer than the retention time. */
  removeExpired(now: number): void {
    for (const [name, { record, changedAt }] of this.members) {
      if (!isLive(record) && now - changedAt > DEAD_MEMBER_RETENTION_MS) {
        this.members.delete(name);
      }
    }
  }

  /** Rebuilt on the first use after a change, as one list of members brings many changes. */
  private getLiveNames(): readonly string[] {
    if (this.areLiveNamesStale) {
      this.areLiveNamesStale = false;
      this.liveNames = this.listAll()
        .filter(isLive)
        .map((record) => record.name);
    }
    return this.liveNames;
  }
}

function isLive(record: MemberRecord): boolean {
  return record.state !== MemberState.dead;
}

function supersedes(update: MemberRecord, known: MemberRecord): boolean {
  if (update.incarnation !== known.incarnation) {
    return update.incarnation > known.incarnation;
  }
  return STATE_RANK[update.state] > STATE_RANK[known.state];
}
