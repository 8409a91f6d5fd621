/** A caller that fetches content block by block: tiles, the routing snapshot. */
import {
  CoapCode,
  CoapOption,
  encodeInteger,
  findOption,
  decodeInteger,
  type CoapMessage,
} from '../coap/coap-message';
import { countFailure, pathOptions, retryAfter } from './answer-content';
import { tileContent } from './backend-standin';
import { CoapCaller, type CallerSurroundings } from './caller';

const BLOCK_NUMBER_SHIFT = 4;
const MORE_BLOCKS = 8;
const BLOCK_SIZE_EXPONENT = 6;
const RESTARTS_MAXIMUM = 50;

/** Fetches tiles or snapshots block by block, one after the other. */
export class TransferCaller extends CoapCaller {
  private tile = 0;

  /**
   * @param interval milliseconds between transfers
   * @param bytes size of each transfer
   */
  constructor(
    surroundings: CallerSurroundings,
    private readonly name: string,
    private readonly interval: number,
    private readonly bytes: number,
  ) {
    super(surroundings);
  }

  start(): void {
    this.startTransfer();
  }

  private startTransfer(): void {
    if (this.stopped) {
      return;
    }
    this.tile++;
    const path = `tiles/${this.name}-${this.tile}`;
    this.fetchBlock(path, 0, [], undefined, 0);
  }

  private fetchBlock(
    path: string,
    block: number,
    received: readonly Buffer[],
    etag: Buffer | undefined,
    restarts: number,
  ): void {
    if (this.stopped) {
      return;
    }
    const { environment, statistics } = this.surroundings;
    const sentAt = environment.now();
    statistics.requestsSent++;
    const value = encodeInteger((block << BLOCK_NUMBER_SHIFT) | BLOCK_SIZE_EXPONENT);
    const options = [...pathOptions(path), { name: CoapOption.block2, value }];
    this.client.request({ method: 'GET', options, payload: Buffer.alloc(0) }, (answer) => {
      if (answer?.code !== CoapCode.content) {
        this.blockFailed(path, block, received, etag, restarts, answer);
        return;
      }
      statistics.answersWhole++;
      statistics.noteLatency('transfer', environment.now() - sentAt);
      this.takeBlock(path, block, received, etag, answer);
    });
  }

  private blockFailed(
    path: string,
    block: number,
    received: readonly Buffer[],
    etag: Buffer | undefined,
    restarts: number,
    answer: CoapMessage | undefined,
  ): void {
    const { environment, statistics } = this.surroundings;
    countFailure(statistics, answer);
    if (restarts >= RESTARTS_MAXIMUM) {
      this.judge.markBroken('transfer');
      return;
    }
    environment.startTimer(retryAfter(answer), () =>
      this.fetchBlock(path, block, received, etag, restarts + 1),
    );
  }

  private takeBlock(
    path: string,
    block: number,
    received: readonly Buffer[],
    etag: Buffer | undefined,
    answer: CoapMessage,
  ): void {
    const gotEtag = findOption(answer, CoapOption.etag);
    if (etag && gotEtag && !etag.equals(gotEtag)) {
      this.judge.markBroken('etag');
    }
    this.judge.markOpened();
    const blocks = [...received, answer.payload];
    const value = decodeInteger(findOption(answer, CoapOption.block2)) ?? 0;
    if ((value & MORE_BLOCKS) !== 0) {
      this.fetchBlock(path, block + 1, blocks, gotEtag, 0);
      return;
    }
    this.judgeContent(path, Buffer.concat(blocks));
    this.surroundings.environment.startTimer(this.interval, () => this.startTransfer());
  }

  private judgeContent(path: string, content: Buffer): void {
    const { service, statistics } = this.surroundings;
    if (content.equals(tileContent(service, path, this.bytes))) {
      return;
    }
    if (content.subarray(0, service.length + 1).toString() === `${service}:`) {
      statistics.noteWrongAnswer(`transfer ${path} got ${content.length} bytes of another`);
    } else {
      statistics.misdelivered++;
    }
  }
}
