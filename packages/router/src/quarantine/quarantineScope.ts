/**
 * Which requests a quarantine concerns. A part of a prompt is seldom alone in the requests that crash: what always came with
 * it is as suspect as the part itself, and so is the caller, if there was only one. A quarantine therefore concerns requests
 * that have all of it in common with those that crashed; it widens as others crash, and as companions are cleared.
 */
import type { BlamedRequest } from './blamedRequest.js';
import type { CrashedRun } from './crashedRuns.js';

/** The requests with a fingerprint that its quarantine concerns. */
export interface QuarantineScope {
  /** Further fingerprints that a request must have. */
  readonly together: readonly string[];
  /** Callers that it concerns; undefined for all. */
  readonly callers: readonly string[] | undefined;
}

/** The scope of a quarantine that concerns all requests with the fingerprint. */
export const UNLIMITED_SCOPE: QuarantineScope = { together: [], callers: undefined };

/** Crashes of one caller after which it is concerned. */
const MIN_CRASHES_OF_CALLER = 2;
/** Callers whose requests crashed from which on it concerns all. Two may be one that crashes endpoints beside its victim. */
const MIN_CALLERS_FOR_ALL = 3;

/**
 * The scope that crashed runs of a fingerprint prove; undefined if they prove nothing beyond the request as a whole.
 *
 * @param fingerprint of a request or of a part of its prompt
 * @param runs that crashed, one after the other
 */
export function findScope(fingerprint: string, runs: readonly CrashedRun[]): QuarantineScope | undefined {
  const requests = runs.map(({ request }) => request).filter((request) => request !== undefined);
  const [first] = requests;
  // Its whole fingerprint includes the caller and all parts.
  if (first === undefined || first.fingerprints[0] === fingerprint) return UNLIMITED_SCOPE;
  const together = first.fingerprints.filter(
    (other) => other !== fingerprint && requests.every(({ fingerprints }) => fingerprints.includes(other)),
  );
  const areAllEqual = first.fingerprints[0] !== undefined && together.includes(first.fingerprints[0]);
  if (areAllEqual) return undefined;
  const callers = requests.map(({ caller }) => caller);
  if (new Set(callers).size >= MIN_CALLERS_FOR_ALL) return { together, callers: undefined };
  const countCrashes = (caller: string): number => callers.filter((other) => other === caller).length;
  const concerned = [...new Set(callers)].filter((caller) => countCrashes(caller) >= MIN_CRASHES_OF_CALLER);
  return concerned.length === 0 ? undefined : { together, callers: concerned };
}

/**
 * Whether a quarantine concerns a request that has its fingerprint.
 *
 * @example isInScope(UNLIMITED_SCOPE, request) // true
 */
export function isInScope({ together, callers }: QuarantineScope, request: BlamedRequest): boolean {
  if (callers !== undefined && !callers.includes(request.caller)) return false;
  return together.every((fingerprint) => request.fingerprints.includes(fingerprint));
}

/**
 * The scope that concerns whatever either of two does.
 *
 * @example joinScopes(scope, UNLIMITED_SCOPE) // UNLIMITED_SCOPE
 */
export function joinScopes(a: QuarantineScope, b: QuarantineScope): QuarantineScope {
  const together = a.together.filter((fingerprint) => b.together.includes(fingerprint));
  if (a.callers === undefined || b.callers === undefined) return { together, callers: undefined };
  return { together, callers: [...new Set([...a.callers, ...b.callers])] };
}

/**
 * Whether two scopes concern the same requests.
 *
 * @example isSameScope(scope, joinScopes(scope, other)) // whether the other adds nothing
 */
export function isSameScope(a: QuarantineScope, b: QuarantineScope): boolean {
  return describeScope(a) === describeScope(b);
}

function describeScope({ together, callers }: QuarantineScope): string {
  return [[...together].sort().join(), callers === undefined ? '*' : [...callers].sort().join()].join(' ');
}
