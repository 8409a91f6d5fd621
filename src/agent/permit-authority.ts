/** Issues and evaluates permits, which let a request run at most once. */
import { decodePermit, encodePermit, type Permit } from '../core/permit';
import { PermitLedger, type LedgerEntry, type StoredEntry } from '../core/permit-ledger';
import { PERMIT_LIFETIME_MS } from '../core/timing';
import { CoapOption, findOption, type CoapMessage } from '../coap/coap-message';
import type { Endpoint } from '../environment';
import type { AgentContext } from './agent-context';

/** The part of an answer that is the same for duplicates with another message id or token. */
export interface PermitAnswer {
  readonly code: string;
  readonly options: CoapMessage['options'];
  readonly payload: Buffer;
}

/** What a request's permit allows. */
export type PermitVerdict =
  /** Run it, once, under this permit. */
  | { readonly kind: 'run'; readonly permit: Permit }
  /** It carries no valid permit, or an expired one that was never used: the caller must retry. */
  | { readonly kind: 'not-run' }
  /** A duplicate is running at the back end. */
  | { readonly kind: 'running' }
  /** A duplicate was given this answer. */
  | { readonly kind: 'repeat'; readonly answer: PermitAnswer }
  /** A duplicate may have run. */
  | { readonly kind: 'unknown' }
  /** Issued by another incarnation; only that one knows whether it was used. */
  | { readonly kind: 'foreign'; readonly permit: Permit };

/** State handed to the successor. */
export interface PermitAuthorityState {
  readonly nextSerial: number;
  readonly ledger: readonly StoredEntry<PermitAnswer>[];
}

/** Permits and ledger of one agent incarnation. */
export class PermitAuthority {
  private readonly ledger = new PermitLedger<PermitAnswer>();
  private nextSerial = 1;

  constructor(private readonly context: AgentContext) {}

  get ledgerSize(): number {
    return this.ledger.size;
  }

  /** Issues a permit for a caller, as the value of an Echo option. */
  issue(caller: Endpoint): Buffer {
    const permit = {
      incarnation: this.context.settings.incarnation,
      serial: this.nextSerial++,
      expiresAt: Math.ceil(this.context.environment.now()) + PERMIT_LIFETIME_MS,
    };
    return encodePermit(permit, caller, this.context.getKeys()[0]!.secret);
  }

  /** Evaluates the permit that a request carries. */
  evaluate(caller: Endpoint, request: CoapMessage): PermitVerdict {
    const echo = findOption(request, CoapOption.echo);
    const secrets = this.context.getKeys().map((key) => key.secret);
    const permit = echo && decodePermit(echo, caller, secrets);
    if (!permit) {
      return { kind: 'not-run' };
    }
    if (permit.incarnation !== this.context.settings.incarnation) {
      return { kind: 'foreign', permit };
    }
    return this.evaluateOwn(permit);
  }

  /** Records the outcome of a permit. */
  record(permit: Permit, entry: LedgerEntry<PermitAnswer>): void {
    this.ledger.record(permit.serial, permit.expiresAt, entry);
  }

  /** Removes a permit from the ledger: it may be used again. */
  forget(permit: Permit): void {
    this.ledger.remove(permit.serial);
  }

  /** Revokes an unused permit of this incarnation; false if a request may have run under it. */
  burnIfUnused(serial: number, expiresAt: number): boolean {
    const known = this.ledger.find(serial);
    if (known) {
      return known.outcome === 'burnt';
    }
    if (!this.ledger.wasNeverUsed(serial, expiresAt, this.context.environment.now())) {
      return false;
    }
    const answer = { code: '4.01', options: [], payload: Buffer.alloc(0) };
    this.ledger.record(serial, expiresAt, { outcome: 'burnt', answer });
    return true;
  }

  exportState(): PermitAuthorityState {
    return { nextSerial: this.nextSerial, ledger: this.ledger.listEntries() };
  }

  importState(state: PermitAuthorityState): void {
    this.nextSerial = state.nextSerial;
    for (const { serial, expiresAt, entry } of state.ledger) {
      this.ledger.record(serial, expiresAt, entry);
    }
  }

  /** Drops the answers of expired permits, and later their entries. */
  removeExpired(): void {
    this.ledger.removeExpired(this.context.environment.now());
  }

  private evaluateOwn(permit: Permit): PermitVerdict {
    const known = this.ledger.find(permit.serial);
    if (known?.outcome === 'running') {
      return { kind: 'running' };
    }
    if (known?.outcome === 'used') {
      return { kind: 'unknown' };
    }
    if (known) {
      return { kind: 'repeat', answer: known.answer };
    }
    return this.evaluateUnused(permit);
  }

  private evaluateUnused(permit: Permit): PermitVerdict {
    const now = this.context.environment.now();
    const expired = permit.expiresAt <= now && this.context.safeguards.has('expiry');
    if (!expired) {
      return { kind: 'run', permit };
    }
    const neverUsed = this.ledger.wasNeverUsed(permit.serial, permit.expiresAt, now);
    return { kind: neverUsed ? 'not-run' : 'unknown' };
  }
}
