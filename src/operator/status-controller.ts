/** The state of a process as an operator reads it. */
import { Controller, Get, Inject } from '@nestjs/common';
import { ADMIN_TARGET, type AdminTarget } from './admin-tokens';

/** A target that is not simply serving. */
export interface TargetView {
  readonly service: string;
  readonly target: string;
  readonly state: 'draining' | 'stopped';
}

@Controller()
export class StatusController {
  constructor(@Inject(ADMIN_TARGET) private readonly target: AdminTarget) {}

  /** Figures, members and drains known to this process. */
  @Get('status')
  status(): unknown {
    return this.target.status();
  }
}
