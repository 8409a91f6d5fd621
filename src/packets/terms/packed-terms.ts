/**
 * Encodes route terms for other balancers: each distinct set once, and for each route the 1-based
 * index of its set, or 0 for none. Most routes of a large table share one set.
 */
import {
  FieldError,
  unpackInteger,
  createListUnpacker,
  unpackNonNegativeNumber,
  unpackTuple,
} from '../../wire/field-codecs';
import type { Route } from '../routing-table';
import { checkTerms, hasSameTerms, type RouteTerms } from './route-terms';

const NO_TERMS = 0;

/** The terms of the route at a position in the table; undefined for none. */
export type TermsLookup = (position: number) => RouteTerms | undefined;

/** Encodes the terms of routes in their order. */
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

/** Decodes packed terms; earlier versions send none. Throws a `FieldError` for invalid ones. */
export function unpackTerms(value: unknown): TermsLookup {
  if (value === undefined) {
    return () => undefined;
  }
  const [packedSets, packedIndexes] = unpackTuple(value, 2);
  const sets = createListUnpacker(unpackSet)(packedSets);
  const indexes = createListUnpacker(unpackInteger)(packedIndexes);
  return (position) => sets[(indexes[position] ?? NO_TERMS) - 1];
}

/** Returns the 1-based index of a set of terms, and adds the set if it is new. */
function internTerms(sets: RouteTerms[], terms: RouteTerms): number {
  const known = sets.findIndex((one) => hasSameTerms(one, terms));
  return known >= 0 ? known + 1 : sets.push(terms);
}

function unpackSet(value: unknown): RouteTerms {
  const [priority, latencyGoal, deadline] = unpackTuple(value, 3);
  const terms = {
    priority: unpackInteger(priority),
    latencyGoal: unpackNonNegativeNumber(latencyGoal),
    deadline: unpackNonNegativeNumber(deadline),
  };
  const problem = checkTerms(terms);
  if (problem !== undefined) {
    throw new FieldError(`invalid route terms: ${problem}`);
  }
  return terms;
}
