/**
 * The terms of a table's routes as balancers hand them to each other: each set of terms once, and for
 * each route the place of its set, counted from 1, or 0 for none. Most routes of a large table have the same ones.
 */
import { FieldError, integer, listOf, positive, tuple } from '../../wire/field-codecs';
import type { Route } from '../routing-table';
import { checkTerms, hasSameTerms, type RouteTerms } from './route-terms';

const NO_TERMS = 0;

/** The terms of the route at a position of the table; undefined for none. */
export type TermsLookup = (position: number) => RouteTerms | undefined;

/** Packs the terms of routes in their order. */
export function packTerms(routes: readonly Route[]): unknown[] {
  const sets: RouteTerms[] = [];
  const indexes = routes.map(({ terms }) => (terms ? internTerms(sets, terms) : NO_TERMS));
  const packedSets = sets.map(({ priority, latencyGoal, deadline }) => [
    priority,
    latencyGoal,
    deadline,
  ]);
  return [packedSets, indexes];
}

/** Checks packed terms; programs of an earlier version send none. Throws a `FieldError` for others. */
export function unpackTerms(value: unknown): TermsLookup {
  if (value === undefined) {
    return () => undefined;
  }
  const [packedSets, packedIndexes] = tuple(value, 2);
  const sets = listOf(unpackSet)(packedSets);
  const indexes = listOf(integer)(packedIndexes);
  return (position) => sets[(indexes[position] ?? NO_TERMS) - 1];
}

/** The place of a set of terms among those noted, to which it is added when it is new. */
function internTerms(sets: RouteTerms[], terms: RouteTerms): number {
  const known = sets.findIndex((one) => hasSameTerms(one, terms));
  return known >= 0 ? known + 1 : sets.push(terms);
}

function unpackSet(value: unknown): RouteTerms {
  const [priority, latencyGoal, deadline] = tuple(value, 3);
  const terms = {
    priority: integer(priority),
    latencyGoal: positive(latencyGoal),
    deadline: positive(deadline),
  };
  if (checkTerms(terms) !== undefined) {
    throw new FieldError('terms that cannot hold');
  }
  return terms;
}
