/** Records of all balancers this one knows of, and the rule by which news replaces them. */
import { DEAD_MEMBER_KEPT_FOR } from '../core/timing';
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
      this.rebuildLiveNames();
    }
    return true;
  }

  /** Members that are not dead. */
  live(): MemberRecord[] {
    return this.liveNames.map((name) => this.members.get(name)!.record);
  }

  get liveCount(): number {
    return this.liveNames.length;
  }

  /** A live member at random. */
  randomLive(random: number): MemberRecord | undefined {
    const name = this.liveNames[Math.floor(random * this.liveNames.length)];
    return name === undefined ? undefined : this.members.get(name)!.record;
  }

  /** A dead member at random: it may be back after a partition. */
  randomDead(random: number): MemberRecord | undefined {
    const dead = this.all().filter((record) => record.state === MemberState.dead);
    return dead[Math.floor(random * dead.length)];
  }

  all(): MemberRecord[] {
    return [...this.members.values()].map(({ record }) => record);
  }

  /** Forgets members that have long been dead. */
  forgetOld(now: number): void {
    for (const [name, { record, changedAt }] of this.members) {
      if (!isLive(record) && now - changedAt > DEAD_MEMBER_KEPT_FOR) {
        this.members.delete(name);
      }
    }
  }

  private rebuildLiveNames(): void {
    this.liveNames = this.all()
      .filter(isLive)
      .map((record) => record.name);
  }
}

function isLive(record: MemberRecord): boolean {
  return record.state !== MemberState.dead;
}

function supersedes(fresh: MemberRecord, known: MemberRecord): boolean {
  if (fresh.incarnation !== known.incarnation) {
    return fresh.incarnation > known.incarnation;
  }
  return STATE_RANK[fresh.state] > STATE_RANK[known.state];
}
