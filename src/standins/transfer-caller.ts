/** Caller of block-wise transfers (RFC 7959), such as tiles and the routing snapshot. */
import {
  CoapCode,
  CoapOption,
  encodeInteger,
  findOption,
  decodeInteger,
  type CoapMessage,
} from '../coap/coap-message';
import { recordFailure, createPathOptions, getRetryDelayMs } from './answer-content';
import { createTileContent } from './backend-standin';
import { CoapCaller, type CallerContext } from './caller';

const BLOCK_NUMBER_SHIFT = 4;
const MORE_BLOCKS_FLAG = 8;
const BLOCK_SIZE_EXPONENT = 6;
const MAXIMUM_BLOCK_RETRIES = 50;

/** Fetches tiles or snapshots block by block, one after the other. */
export class TransferCaller extends CoapCaller {
  private tileNumber = 0;

  /**
   * @param intervalMs milliseconds between transfers
   * @param tileBytes size of each transfer in bytes
   */
  constructor(
    context: CallerContext,
    private readonly name: string,
    private readonly intervalMs: number,
    private readonly tileBytes: number,
  ) {
    super(context);
  }

  start(): void {
    this.startTransfer();
  }

  private startTransfer(): void {
    if (this.stopped) {
      return;
    }
    this.tileNumber++;
    const path = `tiles/${this.name}-${this.tileNumber}`;
    this.fetchBlock(path, 0, [], undefined, 0);
  }

  private fetchBlock(
    path: string,
    block: number,
    received: readonly Buffer[],
    etag: Buffer | undefined,
    retries: number,
  ): void {
    if (this.stopped) {
      return;
    }
    const { environment, statistics } = this.context;
    const sentAt = environment.now();
    statistics.requestsSent++;
    const value = encodeInteger((block << BLOCK_NUMBER_SHIFT) | BLOCK_SIZE_EXPONENT);
    const options = [...createPathOptions(path), { name: CoapOption.block2, value }];
    this.client.request({ method: 'GET', options, payload: Buffer.alloc(0) }, (answer) => {
      if (answer?.code !== CoapCode.content) {
        this.handleBlockFailure(path, block, received, etag, retries, answer);
        return;
      }
      statistics.answersWhole++;
      statistics.recordLatency('transfer', environment.now() - sentAt);
      this.handleBlock(path, block, received, etag, answer);
    });
  }

  private handleBlockFailure(
    path: string,
    block: number,
    received: readonly Buffer[],
    etag: Buffer | undefined,
    retries: number,
    answer: CoapMessage | undefined,
  ): void {
    const { environment, statistics } = this.context;
    recordFailure(statistics, answer);
    if (retries >= MAXIMUM_BLOCK_RETRIES) {
      this.judge.markBroken('transfer');
      return;
    }
    environment.startTimer(getRetryDelayMs(answer), () =>
      this.fetchBlock(path, block, received, etag, retries + 1),
    );
  }

  private handleBlock(
    path: string,
    block: number,
    received: readonly Buffer[],
    etag: Buffer | undefined,
    answer: CoapMessage,
  ): void {
    const answerEtag = findOption(answer, CoapOption.etag);
    if (etag && answerEtag && !etag.equals(answerEtag)) {
      this.judge.markBroken('etag');
    }
    this.judge.markOpened();
    const blocks = [...received, answer.payload];
    const value = decodeInteger(findOption(answer, CoapOption.block2)) ?? 0;
    if ((value & MORE_BLOCKS_FLAG) !== 0) {
      this.fetchBlock(path, block + 1, blocks, answerEtag, 0);
      return;
    }
    this.checkContent(path, Buffer.concat(blocks));
    this.context.environment.startTimer(this.intervalMs, () => this.startTransfer());
  }

  private checkContent(path: string, content: Buffer): void {
    const { service, statistics } = this.context;
    if (content.equals(createTileContent(service, path, this.tileBytes))) {
      return;
    }
    if (content.subarray(0, service.length + 1).toString() === `${service}:`) {
      statistics.recordWrongAnswer(`transfer ${path} got ${content.length} bytes of other content`);
    } else {
      statistics.misdelivered++;
    }
  }
}
