/** How a box reaches an endpoint: directly, or through another box if its own connections fail. */

/** Why a connection to an endpoint could not be established. Nothing was sent in any of these cases. */
export type DialFailure =
  /** No process listens on the port: the process of the endpoint has ended. */
  | 'connectRefused'
  | 'connectTimedOut'
  /** Any other network error, or a refusal that another box contradicts. */
  | 'connectBroken';

/** The path that new connections of a box to an endpoint take. */
export type EndpointPath =
  | { readonly type: 'direct' }
  /** Direct connections fail, but another box reaches the endpoint. Checked directly again at `nextCheckMs`. */
  | { readonly type: 'tunnel'; readonly reason: DialFailure; readonly nextCheckMs: number };

/** The direct path. */
export const DIRECT_PATH: EndpointPath = { type: 'direct' };

/**
 * Whether open direct connections of the box to an endpoint have probably stopped working: new ones get no answer. Where new
 * ones are refused, open ones that no longer work are reset.
 *
 * @example isDirectPathSilent({ type: 'direct' }) // false
 */
export function isDirectPathSilent(path: EndpointPath): boolean {
  return path.type === 'tunnel' && path.reason === 'connectTimedOut';
}
