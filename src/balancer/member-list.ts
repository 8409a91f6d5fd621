/** Records of all balancers this one knows of, and the rule by which news replaces them. */
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

/** Known balancers by name, this one excluded. */
export class MemberList {
  private readonly members = new Map<string, KnownMember>();
  /** Names of members that are probed; kept as an array for random choice. */
  private liveNames: string[] = [];
  private liveNamesAreStale = false;

  get(name: string): MemberRecord | undefined {
    return this.members.get(name)?.record;
  }

  /** Takes a record if it is newer; returns true when it changed something. */
  apply(record: MemberRecord, now: number): boolean {
    const known = this.members.get(record.name);
    if (known && !supersedes(record, known.record)) {
      return false;
    }
    const wasLive = known !== undefined && isLive(known.record);
    this.members.set(record.name, { record, changedAt: now });
    if (wasLive !== isLive(record)) {
      this.liveNamesAreStale = true;
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

  /** A live member at random. */
  pickRandomLive(random: number): MemberRecord | undefined {
    const names = this.getLiveNames();
    const name = names[Math.floor(random * names.length)];
    return name === undefined ? undefined : this.members.get(name)!.record;
  }

  /** A dead member at random: it may be back after a partition. */
  pickRandomDead(random: number): MemberRecord | undefined {
    const dead = this.listAll().filter((record) => record.state === MemberState.dead);
    return dead[Math.floor(random * dead.length)];
  }

  listAll(): MemberRecord[] {
    return [...this.members.values()].map(({ record }) => record);
  }

  /** Forgets members that have long been dead. */
  removeExpired(now: number): void {
    for (const [name, { record, changedAt }] of this.members) {
      if (!isLive(record) && now - changedAt > DEAD_MEMBER_RETENTION_MS) {
        this.members.delete(name);
      }
    }
  }

  /** Rebuilt only when asked for after a change: a list of many members changes many at once. */
  private getLiveNames(): readonly string[] {
    if (this.liveNamesAreStale) {
      this.liveNamesAreStale = false;
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
