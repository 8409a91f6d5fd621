/** The claim handshake, message by message. */
import test from 'ava';
import type { AgentContext } from '../src/agent/agent-context';
import { BucketDirectory } from '../src/agent/bucket-directory';
import type { GroupMembership } from '../src/agent/group-membership';
import { Safeguards } from '../src/agent/safeguards';
import { BucketSet } from '../src/core/bucket-set';
import {
  MessageType,
  type ClaimAnswerMessage,
  type ClaimMessage,
  type Message,
} from '../src/wire/messages';

const CLAIMER_ENDPOINT = 7;

/** Creates a directory with stub dependencies that records the messages it sends. */
function createDirectory(
  target: string,
  eligible: readonly string[] = ['target-1', 'target-2'],
): { directory: BucketDirectory; sent: Message[]; alive: string[]; eligible: string[] } {
  const sent: Message[] = [];
  const alive: string[] = [];
  const eligibleTargets = [...eligible];
  const context = {
    settings: { service: 'live-map', target, incarnation: 100 },
    environment: {
      now: () => 0,
      random: () => 0,
      report: () => undefined,
      startTimer: () => ({ cancel: () => undefined }),
    },
    safeguards: new Safeguards(),
    getBucket: (caller: number) => caller % 256,
    send: (_to: number, message: Message) => sent.push(message),
  } as unknown as AgentContext;
  const membership = {
    tableRevision: 1,
    listEligibleTargets: () => eligibleTargets,
    listPeersToQuery: () => [],
    peer: (target: string) => ({ target, endpoint: CLAIMER_ENDPOINT, dead: false }),
    markAlive: (target: string) => alive.push(target),
  } as unknown as GroupMembership;
  const hosted = { listCallersIn: () => [], isHosted: () => false, endFlow: () => undefined };
  const directory = new BucketDirectory(context, membership, hosted, () => undefined);
  return { directory, sent, alive, eligible: eligibleTargets };
}

function createClaim(claimId: number, buckets: readonly number[]): ClaimMessage {
  const set = BucketSet.createEmpty();
  buckets.forEach((bucket) => set.add(bucket));
  return {
    type: MessageType.claim,
    service: 'live-map',
    target: 'target-2',
    claimId,
    tableRevision: 2,
    buckets: set.encode(),
  };
}

function listAnswers(sent: readonly Message[]): ClaimAnswerMessage[] {
  return sent.filter((message) => message.type === MessageType.claimAnswer);
}

test('claims of one agent that arrive out of order are each answered', (t) => {
  // Scenario `rolling` with 100 balancers: an older claim that arrived after a newer one
  // was never answered, and its buckets had no owner.
  const { directory, sent } = createDirectory('target-1');
  directory.answerClaim(createClaim(12, [1, 2]), CLAIMER_ENDPOINT);
  directory.answerClaim(createClaim(11, [3]), CLAIMER_ENDPOINT);
  t.deepEqual(
    listAnswers(sent).map((answer) => answer.claimId),
    [12, 11],
  );
});

test('a retransmitted claim gets the same entries although they were released', (t) => {
  const { directory, sent } = createDirectory('target-1');
  directory.reconcile();
  const bucket = Array.from({ length: 256 }, (_, index) => index).find(
    (index) => directory.getPhase(index) === 'owned',
  )!;
  directory.setHost(bucket, bucket, 'target-2');
  directory.answerClaim(createClaim(1, [bucket]), CLAIMER_ENDPOINT);
  t.is(directory.getPhase(bucket), 'none');
  t.is(directory.getHost(bucket, bucket), undefined);
  directory.answerClaim(createClaim(1, [bucket]), CLAIMER_ENDPOINT);
  const [first, second] = listAnswers(sent);
  t.is(first!.entries.length, 7);
  t.deepEqual(second, first);
});

test('an owner refuses its buckets to a claimer with an older table', (t) => {
  const { directory, sent } = createDirectory('target-1');
  directory.reconcile();
  const owned = Array.from({ length: 256 }, (_, index) => index).filter(
    (index) => directory.getPhase(index) === 'owned',
  );
  t.true(owned.length > 0);
  directory.answerClaim({ ...createClaim(1, owned), tableRevision: 0 }, CLAIMER_ENDPOINT);
  t.deepEqual(BucketSet.decode(listAnswers(sent)[0]!.refused).listBuckets(), owned);
  t.true(owned.every((bucket) => directory.getPhase(bucket) === 'owned'));
});

test('a claim marks its sender alive, and an owner releases misplaced buckets to the assigned one', (t) => {
  // Scenario `rack` with 100 balancers: two agents of one service that restarted together
  // left six buckets with two owners each.
  const { directory, sent, alive, eligible } = createDirectory('target-1', ['target-1']);
  directory.reconcile();
  t.is(directory.countOwned(), 256);
  directory.answerClaim({ ...createClaim(1, [1]), tableRevision: 0 }, CLAIMER_ENDPOINT);
  t.deepEqual(alive, ['target-2']);

  eligible.push('target-2');
  directory.reconcile();
  directory.checkMisplacedBuckets();
  const sentClaim = sent.find((message) => message.type === MessageType.claim)!;
  const misplaced = BucketSet.decode(sentClaim.buckets).listBuckets();
  t.true(
    misplaced.length > 0 && misplaced.every((bucket) => directory.getOwner(bucket) === 'target-2'),
  );
  directory.receiveAnswer({
    type: MessageType.claimAnswer,
    service: 'live-map',
    target: 'target-2',
    claimId: sentClaim.claimId,
    refused: sentClaim.buckets,
    part: 0,
    parts: 1,
    hosts: [],
    entries: Buffer.alloc(0),
  });
  t.is(directory.countOwned(), 256 - misplaced.length);
});
