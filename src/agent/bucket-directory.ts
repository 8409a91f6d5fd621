/**
 * The part of the service's flow directory that this agent owns: for each of its
 * buckets, which target hosts each flow.
 *
 * A bucket changes its owner by a handshake. The claimer queries every live agent of
 * the service; in the step in which an agent answers, it stops admitting flows in the
 * bucket and sends its entries and the flows it hosts. The claimer admits flows only
 * after all answers, so agents with different tables never both admit the same flow.
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

/** This agent's role in a bucket. */
export type BucketPhase = 'none' | 'claiming' | 'owned';

const ENTRIES_PER_PART = 150;
/** Answers retained for all claimers together. */
const MAXIMUM_SENT_ANSWERS = 64;

interface Claim {
  readonly id: number;
  readonly buckets: BucketSet;
  /** Peers that have not answered in full, with the parts received from each. */
  readonly awaiting: Map<string, Set<number>>;
}

/** The answer to a peer's claim, retained to answer retransmissions. */
export interface SentAnswer {
  /** Claimer and claim id. */
  readonly key: string;
  readonly parts: readonly ClaimAnswerMessage[];
}

/** State handed to the successor. It makes pending claims anew. */
export interface BucketDirectoryState {
  readonly owned: Buffer;
  readonly hosts: readonly string[];
  /** Entries of 7 bytes, as in a claim answer. */
  readonly entries: Buffer;
  readonly nextClaimId: number;
  readonly sentAnswers: readonly SentAnswer[];
}

/** Access to the flows hosted by this agent. */
export interface HostedFlowSource {
  /** Callers of hosted flows whose bucket is in the set. */
  listCallersIn(buckets: BucketSet): Endpoint[];
  /** Whether this agent hosts the flow. */
  isHosted(caller: Endpoint): boolean;
  /** Ends a flow that another target hosts too. */
  endFlow(caller: Endpoint): void;
}

/** Bucket phases, directory entries and the claim handshake of one agent. */
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

  /** Number of buckets that this agent owns. */
  countOwned(): number {
    return this.phases.filter((phase) => phase === 'owned').length;
  }

  /** Number of owners that place flows concurrently, in this agent's view. */
  getOwnerCount(): number {
    return this.distinctOwnerCount;
  }

  /** Number of directory entries. */
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

  /** Removes all entries of a host whose flows have ended; claims no longer wait for it. */
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

  /** Recomputes the owners and claims the buckets now assigned to this agent. */
  reconcile(): void {
    this.owners = computeOwners(
      this.context.settings.service,
      this.membership.listEligibleTargets(),
    );
    this.distinctOwnerCount = Math.max(1, new Set(this.owners).size);
    this.claimMissing();
  }

  /**
   * Claims all owned buckets again after this agent was disconnected for longer than
   * its lease: other agents may have taken them over and recorded other hosts.
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

  /** Queries one peer for its flows in the owned buckets, while admission continues. */
  refreshFrom(peer: Peer): void {
    if (this.countOwned() > 0) {
      this.startClaim(this.getOwnedBuckets(), [peer]);
    }
  }

  /**
   * Queries the assigned owner about buckets that this agent owns although its view names
   * another owner: an agent that owns them too refuses the claim, and this agent releases them.
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

  /** Claims the buckets that are assigned to this agent and not yet owned. */
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

  /** Answers a peer's claim and releases the buckets that the answer does not refuse. */
  answerClaim(message: ClaimMessage, from: Endpoint): void {
    // The claimer is alive: mark it before the release, so that later claims query it.
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

  /** Handles one part of a peer's answer. */
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
   * Retains answers per claim, not only the latest per claimer: two claims of one agent
   * may arrive out of order, and a retransmission of each needs its own answer.
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
    const newlyOwned = claim.buckets
      .listBuckets()
      .filter((bucket) => this.phases[bucket] === 'claiming');
    for (const bucket of newlyOwned) {
      this.phases[bucket] = 'owned';
    }
    if (newlyOwned.length > 0) {
      this.context.environment.report(Events.bucketsOwned, { buckets: newlyOwned.length });
      this.onBucketsOwned();
    }
    return true;
  }

  /**
   * Merges a peer's entries. A flow may have two live hosts after one of them counted as
   * dead for a time; each would go on serving the balancers that cached it, so one flow is
   * ended: usually the peer's, but this agent's own if it was the disconnected one.
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

  /** Releases buckets to a claimer and returns those refused. */
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

  /** An owner refuses a claimer that has an older table or a lower score. */
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

  /** Stops admission in a bucket and removes it from pending claims, so that none completes it. */
  private releaseBucket(bucket: number): void {
    this.phases[bucket] = 'none';
    for (const claim of this.claims.values()) {
      claim.buckets.remove(bucket);
    }
  }
}
