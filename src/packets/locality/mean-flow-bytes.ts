/** What a flow of an agent's target carries, both ways, as its agent sees it in passing. */
import type { FlowPacket } from '../flow-packet';

/** Flows below which the mean says little: the first ones have not had their answers yet. */
const MINIMUM_FLOWS = 4;
/** Flows after which those before weigh half: some hundred follow a change of the work. */
const HALVING_FLOWS = 64;

/** Fading mean of one target. */
export class MeanFlowBytes {
  private bytes = 0;
  private flows = 0;

  /** A client's packet goes to the target. */
  addClientPacket({ bytes }: FlowPacket): void {
    this.bytes += bytes.length;
  }

  /** The target has sent a packet; with its answer to an opening one a flow begins. */
  addTargetPacket({ bytes, opens }: FlowPacket): void {
    this.bytes += bytes.length;
    if (opens) {
      this.flows++;
    }
    if (this.flows >= 2 * HALVING_FLOWS) {
      this.flows /= 2;
      this.bytes /= 2;
    }
  }

  /** The target was replaced: nothing is known of the flows of the next one. */
  clear(): void {
    this.bytes = 0;
    this.flows = 0;
  }

  /** Mean bytes of a flow of late, heads of packets included; 0 while unknown. */
  get mean(): number {
    return this.flows < MINIMUM_FLOWS ? 0 : Math.round(this.bytes / this.flows);
  }
}
