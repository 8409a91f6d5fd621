/** Status route of a process. */
import { Controller, Get, Inject } from '@nestjs/common';
import { ADMIN_TARGET, type AdminTarget } from './admin-tokens';

/** A target that is draining or stopped. */
export interface TargetView {
  readonly service: string;
  readonly target: string;
  readonly state: 'draining' | 'stopped';
}

@Controller()
export class StatusController {
  constructor(@Inject(ADMIN_TARGET) private readonly target: AdminTarget) {}

  /** Metric values, members and draining targets known to this process. */
  @Get('status')
  status(): unknown {
    return this.target.status();
  }
}
