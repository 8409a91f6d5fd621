/** Deployments that the demo and the simulations run. */
import type { ServiceProtocol } from '../agent/agent-context';

/** Number of callers of one service, by kind. */
export interface CallerMix {
  readonly feeds: number;
  readonly reporters: number;
  readonly transfers: number;
  /** Callers of a datagram service. */
  readonly datagrams: number;
}

/** One service of a deployment. */
export interface DeployedService {
  readonly name: string;
  readonly protocol: ServiceProtocol;
  readonly targets: number;
  readonly slots: number;
  readonly connections: number;
  readonly callers: CallerMix;
  /** Mean service time of a request in milliseconds. */
  readonly serviceTime: number;
  readonly tileBytes: number;
}

/** Zones, balancers, network delays and services of a deployment. */
export interface Deployment {
  readonly name: 'map' | 'porting';
  readonly zones: readonly string[];
  readonly balancersPerZone: number;
  /** One-way delay between zones in milliseconds. */
  readonly zoneDelay: number;
  /** One-way delay between callers and balancers in milliseconds. */
  readonly callerDelay: number;
  readonly services: readonly DeployedService[];
}

const MAP_DEPLOYMENT: Deployment = {
  name: 'map',
  zones: ['zone-a', 'zone-b', 'zone-c'],
  balancersPerZone: 1,
  zoneDelay: 1.5,
  callerDelay: 1,
  services: [
    {
      name: 'live-map',
      protocol: 'coap',
      targets: 7,
      slots: 5,
      connections: 2_000,
      callers: { feeds: 56, reporters: 28, transfers: 0, datagrams: 0 },
      serviceTime: 20,
      tileBytes: 0,
    },
    {
      name: 'tiles',
      protocol: 'coap',
      targets: 3,
      slots: 5,
      connections: 2_000,
      callers: { feeds: 0, reporters: 0, transfers: 18, datagrams: 0 },
      serviceTime: 5,
      tileBytes: 6_000,
    },
  ],
};

const PORTING_DEPLOYMENT: Deployment = {
  name: 'porting',
  zones: ['zone-a', 'zone-b', 'zone-c', 'zone-d'],
  balancersPerZone: 1,
  zoneDelay: 0.5,
  callerDelay: 3,
  services: [
    {
      name: 'porting-core',
      protocol: 'coap',
      targets: 7,
      slots: 4,
      connections: 2_000,
      callers: { feeds: 42, reporters: 42, transfers: 0, datagrams: 0 },
      serviceTime: 30,
      tileBytes: 0,
    },
    {
      name: 'routing-snapshot',
      protocol: 'coap',
      targets: 4,
      slots: 4,
      connections: 2_000,
      callers: { feeds: 0, reporters: 0, transfers: 16, datagrams: 0 },
      serviceTime: 4,
      tileBytes: 40_000,
    },
  ],
};

/** Deployments by name. */
export const DEPLOYMENTS: Readonly<Record<Deployment['name'], Deployment>> = {
  map: MAP_DEPLOYMENT,
  porting: PORTING_DEPLOYMENT,
};

/** Name of a service's target; numbers start at 1. */
export function createTargetName(number: number): string {
  return `target-${number}`;
}

/** Datagram service that simulations add to a deployment, so that both protocols are checked. */
const BEACON_SERVICE: DeployedService = {
  name: 'beacon',
  protocol: 'datagram',
  targets: 3,
  slots: 0,
  connections: 500,
  callers: { feeds: 0, reporters: 0, transfers: 0, datagrams: 9 },
  serviceTime: 0,
  tileBytes: 0,
};

/** Returns the deployment with the datagram service added. */
export function addBeaconService(deployment: Deployment): Deployment {
  return { ...deployment, services: [...deployment.services, BEACON_SERVICE] };
}
