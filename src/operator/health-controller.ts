/** Health and metrics routes of a process. */
import { Controller, Get, Header, HttpException, HttpStatus, Inject } from '@nestjs/common';
import { ADMIN_TARGET, type AdminTarget } from './admin-tokens';

/** Answer of the health routes. */
interface Health {
  readonly status: 'ok';
}

@Controller()
export class HealthController {
  constructor(@Inject(ADMIN_TARGET) private readonly target: AdminTarget) {}

  /** 200 while the process runs. */
  @Get('healthz')
  healthz(): Health {
    return { status: 'ok' };
  }

  /** 200 when the process accepts traffic, 503 otherwise. */
  @Get('readyz')
  readyz(): Health {
    if (!this.target.isReady()) {
      throw new HttpException({ status: 'not-ready' }, HttpStatus.SERVICE_UNAVAILABLE);
    }
    return { status: 'ok' };
  }

  /** Metrics in the Prometheus text format. */
  @Get('metrics')
  @Header('content-type', 'text/plain; version=0.0.4; charset=utf-8')
  metrics(): Promise<string> {
    return this.target.metrics.registry.metrics();
  }
}
