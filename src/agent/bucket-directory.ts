/**
 * The part of the service's flow directory that this agent owns: for each of its
 * buckets, which target hosts each flow.
 *
 * Taking a bucket over is a hand-shake. The claimer asks every live agent of the
 * service; in the same step in which an agent answers it stops admitting in the
 * bucket and tells its entries and the flows it hosts. Only with all answers does
 * the claimer admit. So two views of the table never admit the same flow twice.
 */
import { BucketSet } from '../core/bucket-set';
import { BUCKET_COUNT } from '../core/hashing';
import { computeBucketScore, computeOwners } from '../core/ownership';
import { CLAIM_REFUSED_DELAY_MS, CLAIM_RETRY_INTERVAL_MS } from '../core/timing';
import type { Endpoint } from '../environment';
import { Events } from '../logging/events';
import { MessageType, type ClaimAnswerMessage, type ClaimMessage } from '../wire/messages';
import type { AgentContext } from './agent-context';
import { packCallers, packEntries, unpackEntries, type FlowEntry } from './flow-entries';
import type { GroupMembership, Peer } from './group-membership';

/** What this agent may do in a bucket. */
export type BucketPhase = 'none' | 'claiming' | 'owned';

const ENTRIES_PER_PART = 150;
/** Answers kept over all claimers. */
const MAXIMUM_SENT_ANSWERS = 64;

interface Claim {
  readonly id: number;
  readonly buckets: BucketSet;
  /** Peers still to answer, with the parts received of each. */
  readonly awaiting: Map<string, Set<number>>;
}

/** The answer to a peer's claim, kept in case it asks again. */
export interface SentAnswer {
  /** Claimer and claim id. */
  readonly key: string;
  readonly parts: readonly ClaimAnswerMessage[];
}

/** What a successor needs to go on. Claims under way are made anew. */
export interface BucketDirectoryState {
  readonly owned: Buffer;
  readonly hosts: readonly string[];
  /** Entries of 7 bytes, as in a claim's answer. */
  readonly entries: Buffer;
  readonly nextClaimId: number;
  readonly sentAnswers: readonly SentAnswer[];
}

/** What the directory needs to know of the flows hosted here. */
export interface HostedFlowSource {
  /** Callers of hosted flows whose bucket is in the set. */
  listCallersIn(buckets: BucketSet): Endpoint[];
  /** Whether a flow is hosted here. */
  isHosted(caller: Endpoint): boolean;
  /** Ends a flow hosted here, in favour of another host. */
  endFlow(caller: Endpoint): void;
}

/** Bucket phases, directory entries and the claim hand-shake of one agent. */
export class BucketDirectory {
  private readonly phases: BucketPhase[] = Array.from({ length: BUCKET_COUNT }, () => 'none');
  private readonly entries = new Map<number, Map<Endpoint, string>>();
  private readonly refusedUntil: number[] = [];
  private readonly claims = new Map<number, Claim>();
  private readonly sentAnswers = new Map<string, SentAnswer>();
  private owners: readonly (string | undefined)[] = [];
  private distinctOwnerCount = 1;
  private nextClaimId: number;

  /** @param onBucketsOwned called when buckets have become owned */
  constructor(
    private readonly context: AgentContext,
    private readonly membership: GroupMembership,
    private readonly hostedFlows: HostedFlowSource,
    private readonly onBucketsOwned: () => void,
  ) {
    this.nextClaimId = context.settings.incarnation;
  }

  getPhase(bucket: number): BucketPhase {
    return this.phases[bucket]!;
  }

  /** The owner of a bucket in this agent's view. */
  getOwner(bucket: number): string | undefined {
    return this.owners[bucket];
  }

  /** Buckets owned here. */
  countOwned(): number {
    return this.phases.filter((phase) => phase === 'owned').length;
  }

  /** Owners that place flows at the same time, in this agent's view. */
  getOwnerCount(): number {
    return this.distinctOwnerCount;
  }

  /** Directory entries held. */
  countEntries(): number {
    let count = 0;
    for (const bucket of this.entries.values()) {
      count += bucket.size;
    }
    return count;
  }

  getHost(bucket: number, caller: Endpoint): string | undefined {
    return this.entries.get(bucket)?.get(caller);
  }

  setHost(bucket: number, caller: Endpoint, host: string): void {
    const known = this.entries.get(bucket);
    if (known) {
      known.set(caller, host);
    } else {
      this.entries.set(bucket, new Map([[caller, host]]));
    }
  }

  /** Removes an entry, but only if it still names `host`. */
  removeIfHost(bucket: number, caller: Endpoint, host: string): void {
    const known = this.entries.get(bucket);
    if (known?.get(caller) === host) {
      known.delete(caller);
    }
  }

  /** Forgets every entry of a host whose flows are gone, and stops waiting for it. */
  removeHost(host: string): void {
    for (const bucket of this.entries.values()) {
      for (const [caller, entryHost] of bucket) {
        if (entryHost === host) {
          bucket.delete(caller);
        }
      }
    }
    for (const claim of [...this.claims.values()]) {
      this.recordAnswer(claim, host);
    }
  }

  /** Computes the owners anew and claims what this agent now should own. */
  reconcile(): void {
    this.owners = computeOwners(
      this.context.settings.service,
      this.membership.listEligibleTargets(),
    );
    this.distinctOwnerCount = Math.max(1, new Set(this.owners).size);
    this.claimMissing();
  }

  /**
   * Claims everything owned here anew, after this agent was out of touch for longer than
   * its lease: others may own the buckets by now and know other hosts.
   */
  reclaimOwned(): void {
    const buckets = this.getOwnedBuckets();
    if (this.countOwned() === 0 || !this.context.safeguards.has('handshake')) {
      return;
    }
    for (const bucket of buckets.listBuckets()) {
      this.releaseBucket(bucket);
      this.entries.delete(bucket);
      this.phases[bucket] = 'claiming';
    }
    this.startClaim(buckets, this.membership.listPeersToQuery());
  }

  /** Asks one peer for its flows in the buckets owned here, without giving up admission. */
  refreshFrom(peer: Peer): void {
    if (this.countOwned() > 0) {
      this.startClaim(this.getOwnedBuckets(), [peer]);
    }
  }

  /**
   * Asks the rightful owner about buckets that this agent owns although its view names
   * another: an owner that holds them too refuses, and this agent gives them up.
   */
  checkMisplacedBuckets(): void {
    const misplaced = new Map<string, BucketSet>();
    this.phases.forEach((phase, bucket) => {
      const owner = this.owners[bucket];
      if (phase === 'owned' && owner !== undefined && owner !== this.context.settings.target) {
        const buckets = misplaced.get(owner) ?? BucketSet.createEmpty();
        buckets.add(bucket);
        misplaced.set(owner, buckets);
      }
    });
    for (const [owner, buckets] of misplaced) {
      const peer = this.membership.peer(owner);
      if (peer) {
        this.startClaim(buckets, [peer]);
      }
    }
  }

  /** Claims the buckets that this agent should own and does not. */
  claimMissing(): void {
    const now = this.context.environment.now();
    const buckets = BucketSet.createEmpty();
    let missingCount = 0;
    this.owners.forEach((owner, bucket) => {
      const isMissing = owner === this.context.settings.target && this.phases[bucket] === 'none';
      if (isMissing && now >= (this.refusedUntil[bucket] ?? 0)) {
        buckets.add(bucket);
        this.phases[bucket] = 'claiming';
        missingCount++;
      }
    });
    if (missingCount > 0) {
      this.context.environment.report(Events.bucketsClaimed, { buckets: missingCount });
      const handshake = this.context.safeguards.has('handshake');
      this.startClaim(buckets, handshake ? this.membership.listPeersToQuery() : []);
    }
  }

  /** Answers a peer's claim; releases what this agent does not keep. */
  answerClaim(message: ClaimMessage, from: Endpoint): void {
    // Before anything is released: who claims lives, and must be asked by later claims here.
    this.membership.markAlive(message.target);
    const key = `${message.target}/${message.claimId}`;
    const previous = this.sentAnswers.get(key);
    if (previous) {
      previous.parts.forEach((part) => this.context.send(from, part));
      return;
    }
    const asked = BucketSet.decode(message.buckets);
    const refused = this.releaseBuckets(asked, message);
    const parts = this.createAnswerParts(message, refused, this.listEntries(asked));
    this.dropEntries(asked);
    this.retainAnswer({ key, parts });
    parts.forEach((part) => this.context.send(from, part));
  }

  /** Takes one part of a peer's answer. */
  receiveAnswer(message: ClaimAnswerMessage): void {
    const claim = this.claims.get(message.claimId);
    const parts = claim?.awaiting.get(message.target);
    if (!claim || !parts) {
      return;
    }
    this.mergeEntries(claim, message);
    this.releaseRefused(claim, BucketSet.decode(message.refused));
    parts.add(message.part);
    if (parts.size >= message.parts) {
      this.recordAnswer(claim, message.target);
    }
  }

  exportState(): BucketDirectoryState {
    const all = [...this.entries.values()].flatMap((bucket) =>
      [...bucket].map(([caller, host]) => ({ caller, host })),
    );
    const { hosts, bytes } = packEntries(all);
    const sentAnswers = [...this.sentAnswers.values()];
    const { nextClaimId } = this;
    return {
      owned: this.getOwnedBuckets().encode(),
      hosts,
      entries: bytes,
      nextClaimId,
      sentAnswers,
    };
  }

  importState(state: BucketDirectoryState): void {
    this.nextClaimId = state.nextClaimId;
    for (const bucket of BucketSet.decode(state.owned).listBuckets()) {
      this.phases[bucket] = 'owned';
    }
    for (const { caller, host } of unpackEntries(state.hosts, state.entries)) {
      this.setHost(this.context.getBucket(caller), caller, host);
    }
    state.sentAnswers.forEach((answer) => this.retainAnswer(answer));
  }

  /**
   * Keeps answers by claim, not only the latest of a claimer: two claims of one agent
   * may cross on the way, and each must find its answer.
   */
  private retainAnswer(answer: SentAnswer): void {
    this.sentAnswers.set(answer.key, answer);
    if (this.sentAnswers.size > MAXIMUM_SENT_ANSWERS) {
      this.sentAnswers.delete(this.sentAnswers.keys().next().value as string);
    }
  }

  private getOwnedBuckets(): BucketSet {
    const buckets = BucketSet.createEmpty();
    this.phases.forEach((phase, bucket) => phase === 'owned' && buckets.add(bucket));
    return buckets;
  }

  private startClaim(buckets: BucketSet, peers: readonly Peer[]): void {
    const claim: Claim = {
      id: ++this.nextClaimId,
      buckets,
      awaiting: new Map(peers.map((peer) => [peer.target, new Set<number>()])),
    };
    this.claims.set(claim.id, claim);
    this.sendClaim(claim);
  }

  private sendClaim(claim: Claim): void {
    if (!this.claims.has(claim.id)) {
      return;
    }
    for (const target of [...claim.awaiting.keys()]) {
      this.queryOrSkip(claim, target);
    }
    if (this.completeIfAnswered(claim)) {
      return;
    }
    this.context.environment.startTimer(CLAIM_RETRY_INTERVAL_MS, () => this.sendClaim(claim));
  }

  private queryOrSkip(claim: Claim, target: string): void {
    const peer = this.membership.peer(target);
    if (!peer || peer.dead) {
      claim.awaiting.delete(target);
      return;
    }
    this.context.send(peer.endpoint, {
      type: MessageType.claim,
      service: this.context.settings.service,
      target: this.context.settings.target,
      claimId: claim.id,
      tableRevision: this.membership.tableRevision,
      buckets: claim.buckets.encode(),
    });
  }

  private recordAnswer(claim: Claim, target: string): void {
    claim.awaiting.delete(target);
    this.completeIfAnswered(claim);
  }

  private completeIfAnswered(claim: Claim): boolean {
    if (claim.awaiting.size > 0 || !this.claims.delete(claim.id)) {
      return claim.awaiting.size === 0;
    }
    const gained = claim.buckets
      .listBuckets()
      .filter((bucket) => this.phases[bucket] === 'claiming');
    for (const bucket of gained) {
      this.phases[bucket] = 'owned';
    }
    if (gained.length > 0) {
      this.context.environment.report(Events.bucketsOwned, { buckets: gained.length });
      this.onBucketsOwned();
    }
    return true;
  }

  /**
   * Takes a peer's entries. A flow with two live hosts, as after one of them counted as
   * dead for a while, keeps one: two hosts would each keep the balancers that learnt of
   * them. Usually the peer's copy ends; this agent's own does if it was the one away.
   */
  private mergeEntries(claim: Claim, message: ClaimAnswerMessage): void {
    const evicted: Endpoint[] = [];
    for (const { caller, host } of unpackEntries(message.hosts, message.entries)) {
      const bucket = this.context.getBucket(caller);
      if (!claim.buckets.has(bucket) || this.phases[bucket] === 'none') {
        continue;
      }
      const isHostedBySender = host === message.target;
      if (isHostedBySender && this.shouldEndOwnFlow(caller)) {
        this.hostedFlows.endFlow(caller);
      }
      const known = this.hostedFlows.isHosted(caller)
        ? this.context.settings.target
        : this.getHost(bucket, caller);
      if (known === undefined) {
        this.addEntry(bucket, caller, host);
      } else if (isHostedBySender && host !== known) {
        evicted.push(caller);
      }
    }
    this.evictFlows(message.target, evicted);
  }

  private shouldEndOwnFlow(caller: Endpoint): boolean {
    return this.hostedFlows.isHosted(caller) && this.membership.wasDisconnectedRecently;
  }

  private addEntry(bucket: number, caller: Endpoint, host: string): void {
    if (!this.membership.peer(host)?.dead) {
      this.setHost(bucket, caller, host);
    }
  }

  private evictFlows(target: string, callers: readonly Endpoint[]): void {
    const peer = this.membership.peer(target);
    if (peer && callers.length > 0) {
      this.context.send(peer.endpoint, {
        type: MessageType.flowEviction,
        service: this.context.settings.service,
        target: this.context.settings.target,
        callers: packCallers(callers),
      });
    }
  }

  private releaseRefused(claim: Claim, refused: BucketSet): void {
    const until = this.context.environment.now() + CLAIM_REFUSED_DELAY_MS;
    for (const bucket of refused.listBuckets()) {
      if (claim.buckets.has(bucket)) {
        this.refusedUntil[bucket] = until;
        this.releaseBucket(bucket);
        this.entries.delete(bucket);
      }
    }
  }

  /** Releases buckets to a claimer and returns those kept. */
  private releaseBuckets(asked: BucketSet, message: ClaimMessage): BucketSet {
    const refused = BucketSet.createEmpty();
    let released = 0;
    for (const bucket of asked.listBuckets()) {
      if (this.shouldRefuseClaim(bucket, message)) {
        refused.add(bucket);
        asked.remove(bucket);
        continue;
      }
      released += this.phases[bucket] === 'owned' ? 1 : 0;
      this.releaseBucket(bucket);
    }
    if (released > 0) {
      const fields = { buckets: released, claimer: message.target };
      this.context.environment.report(Events.bucketsReleased, fields);
    }
    return refused;
  }

  /** An owner keeps a bucket against a claimer with an older table or a lower score. */
  private shouldRefuseClaim(bucket: number, message: ClaimMessage): boolean {
    const { service, target } = this.context.settings;
    const isHeldByOwner = this.phases[bucket] !== 'none' && this.owners[bucket] === target;
    if (!isHeldByOwner || message.tableRevision > this.membership.tableRevision) {
      return false;
    }
    const isOlderTable = message.tableRevision < this.membership.tableRevision;
    return (
      isOlderTable ||
      computeBucketScore(service, bucket, target) >
        computeBucketScore(service, bucket, message.target)
    );
  }

  private listEntries(buckets: BucketSet): FlowEntry[] {
    const own = this.context.settings.target;
    const hostedEntries = this.hostedFlows
      .listCallersIn(buckets)
      .map((caller) => ({ caller, host: own }));
    const known: FlowEntry[] = [];
    for (const bucket of buckets.listBuckets()) {
      this.entries.get(bucket)?.forEach((host, caller) => {
        if (host !== own) {
          known.push({ caller, host });
        }
      });
    }
    return [...hostedEntries, ...known];
  }

  private createAnswerParts(
    message: ClaimMessage,
    refused: BucketSet,
    entries: readonly FlowEntry[],
  ): ClaimAnswerMessage[] {
    const count = Math.max(1, Math.ceil(entries.length / ENTRIES_PER_PART));
    return Array.from({ length: count }, (_, part) => {
      const start = part * ENTRIES_PER_PART;
      const packed = packEntries(entries.slice(start, start + ENTRIES_PER_PART));
      return {
        type: MessageType.claimAnswer,
        service: this.context.settings.service,
        target: this.context.settings.target,
        claimId: message.claimId,
        refused: refused.encode(),
        part,
        parts: count,
        hosts: packed.hosts,
        entries: packed.bytes,
      };
    });
  }

  private dropEntries(buckets: BucketSet): void {
    buckets.listBuckets().forEach((bucket) => this.entries.delete(bucket));
  }

  /** Stops admitting in a bucket, and takes it out of claims under way so that none completes it. */
  private releaseBucket(bucket: number): void {
    this.phases[bucket] = 'none';
    for (const claim of this.claims.values()) {
      claim.buckets.remove(bucket);
    }
  }
}
