/** What one balancer hands to another on request, as bson: its routing table and agents. */
import { deserialize, serialize } from 'bson';
import { Ok, type Result } from 'ts-results';
import { failure, messageOf, type HallholdError } from '../errors/hallhold-error';
import { ResultCodes } from '../errors/result-codes';
import { FieldError, integer, listOf, oneOf, positive, text, tuple } from '../wire/field-codecs';
import {
  packColdRates,
  packListedAgents,
  unpackColdRates,
  unpackListedAgent,
  type ListedAgent,
} from './packet-messages';
import type { Route, RoutingTable, WeightedService } from './routing-table';

/** State that a starting or lagging balancer can take over. */
export interface PeerSnapshot {
  readonly routingTable: RoutingTable | undefined;
  readonly viewComplete: boolean;
  readonly agents: readonly ListedAgent[];
  /** The store's revision through which the registry is known; 0 for none. */
  readonly registryRevision: number;
}

/** Encodes a snapshot. */
export function encodeSnapshot(snapshot: PeerSnapshot): Buffer {
  const { routingTable, viewComplete, agents, registryRevision } = snapshot;
  return Buffer.from(
    serialize({
      table: routingTable ? packTable(routingTable) : null,
      complete: viewComplete ? 1 : 0,
      // Beside the table, whose form earlier versions check.
      coldRates: packColdRates(routingTable?.coldRates ?? []),
      agents: packListedAgents(agents),
      registryRevision,
    }),
  );
}

/** Decodes and checks a snapshot; error 1303 for anything else. */
export function decodeSnapshot(bytes: Buffer): Result<PeerSnapshot, HallholdError> {
  try {
    const document = deserialize(bytes);
    return new Ok({
      routingTable:
        document['table'] === null
          ? undefined
          : unpackTable(document['table'], document['coldRates'] ?? []),
      viewComplete: oneOf(0, 1)(document['complete']) === 1,
      agents: listOf(unpackListedAgent)(document['agents']),
      registryRevision: integer(document['registryRevision'] ?? 0),
    });
  } catch (error) {
    return failure(ResultCodes.frameMalformed, messageOf(error));
  }
}

function packTable(table: RoutingTable): unknown[] {
  const routes = table.routes.map(({ name, destination, services }) => [
    name,
    destination,
    services.map(({ service, weight }) => [service, weight]),
  ]);
  return [table.version, table.idleTimeout, routes];
}

function unpackTable(value: unknown, coldRates: unknown): RoutingTable {
  const [version, idleTimeout, routes] = tuple(value, 3);
  return {
    version: integer(version),
    idleTimeout: positive(idleTimeout),
    routes: listOf(unpackRoute)(routes),
    coldRates: unpackColdRates(coldRates),
  };
}

function unpackRoute(value: unknown): Route {
  const [name, destination, services] = tuple(value, 3);
  const checked = listOf(unpackService)(services);
  if (checked.length === 0) {
    throw new FieldError('a route without service');
  }
  return { name: text(name), destination: integer(destination), services: checked };
}

function unpackService(value: unknown): WeightedService {
  const [service, weight] = tuple(value, 2);
  return { service: text(service), weight: positive(weight) };
}
