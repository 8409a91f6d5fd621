/** HTTP server of a process: health, metrics and, on balancers, the operators' API. */
import 'reflect-metadata';
import { Module, type DynamicModule, type Type } from '@nestjs/common';
import { NestFactory } from '@nestjs/core';
import { FastifyAdapter, type NestFastifyApplication } from '@nestjs/platform-fastify';
import { getEndpointAddress, getEndpointPort, packEndpoint } from '../core/endpoint';
import type { Endpoint } from '../environment';
import { HallholdError, getErrorMessage } from '../errors/hallhold-error';
import { ResultCodes } from '../errors/result-codes';
import type { BalancerNode } from '../balancer/balancer-node';
import type { Metrics } from '../runtime/metrics';
import { HealthController } from './health-controller';
import { ADMIN_TARGET, BALANCER_NODE, type AdminTarget } from './admin-tokens';
import { StatusController } from './status-controller';
import { TablesController } from './tables-controller';

/** Address and data sources of the server. */
export interface AdminServerOptions {
  readonly listen: Endpoint;
  readonly metrics: Metrics;
  /** Whether the process accepts traffic. */
  readonly isReady: () => boolean;
  /** Set on balancers only: enables the operators' API. */
  readonly balancer?: BalancerNode;
  /** Document returned at /status. */
  readonly status: () => unknown;
}

/** A running server. */
export interface AdminServer {
  readonly endpoint: Endpoint;
  close(): Promise<void>;
}

@Module({})
class AdminModule {}

function createAdminModule(options: AdminServerOptions): DynamicModule {
  const target: AdminTarget = options;
  const controllers: Type[] = [HealthController, StatusController];
  return {
    module: AdminModule,
    controllers: options.balancer ? [...controllers, TablesController] : controllers,
    providers: [
      { provide: ADMIN_TARGET, useValue: target },
      { provide: BALANCER_NODE, useValue: options.balancer },
    ],
  };
}

/** Starts the server. Throws a {@link HallholdError} 1402 when it cannot listen at the address. */
export async function startAdminServer(options: AdminServerOptions): Promise<AdminServer> {
  const adapter = new FastifyAdapter();
  const application = await NestFactory.create<NestFastifyApplication>(
    createAdminModule(options),
    adapter,
    { logger: false },
  );
  if (options.balancer) {
    await serveOpenApi(application);
  }
  try {
    await application.listen(getEndpointPort(options.listen), getEndpointAddress(options.listen));
  } catch (error) {
    throw new HallholdError(ResultCodes.addressInUse, getErrorMessage(error));
  }
  const bound = application.getHttpServer().address() as { address: string; port: number };
  return {
    endpoint: packEndpoint(bound.address, bound.port),
    close: () => application.close(),
  };
}

/** Imports the library on demand: agents have no API to describe, and it uses much memory. */
async function serveOpenApi(application: NestFastifyApplication): Promise<void> {
  const { DocumentBuilder, SwaggerModule } = await import('@nestjs/swagger');
  const configuration = new DocumentBuilder()
    .setTitle('hallhold')
    .setDescription('Health, metrics, status and tables of a hallhold process')
    .setVersion('1')
    .build();
  const document = SwaggerModule.createDocument(application, configuration);
  application
    .getHttpAdapter()
    .getInstance()
    .get('/openapi.json', (_request, reply) => reply.send(document));
}
