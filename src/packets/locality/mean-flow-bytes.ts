/** Mean bytes per flow of an agent's target in both directions, from the packets forwarded. */
import type { FlowPacket } from '../flow-packet';

/** Flows below which the mean is not significant: the first ones are not answered yet. */
const MINIMUM_FLOWS = 4;
/** Flows after which earlier ones weigh half; the mean follows a change within about a hundred. */
const HALVING_FLOWS = 64;

/** Exponentially decaying mean of one target. */
export class MeanFlowBytes {
  private bytes = 0;
  private flows = 0;

  /** Adds a client's packet that is delivered to the target. */
  addClientPacket({ bytes }: FlowPacket): void {
    this.bytes += bytes.length;
  }

  /** Adds a packet that the target has sent; a SYN-ACK counts as the start of a flow. */
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

  /** Resets the mean, after the target was replaced. */
  clear(): void {
    this.bytes = 0;
    this.flows = 0;
  }

  /** Recent mean bytes per flow, including packet headers; 0 while unknown. */
  get mean(): number {
    return this.flows < MINIMUM_FLOWS ? 0 : Math.round(this.bytes / this.flows);
  }
}
