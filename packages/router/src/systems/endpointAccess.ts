/** Names how a box reaches the endpoints as a whole: whether a fault lies on its own paths. */

/** Endpoints by how this box reaches them. */
export interface EndpointCounts {
  readonly total: number;
  /** Reached through other boxes only. */
  readonly tunnelled: number;
  readonly unreachable: number;
}

/** How a box reaches the endpoints. */
export type EndpointAccess =
  /** It is not known to be cut off from any endpoint that another box reaches. */
  | 'direct'
  /** It reaches some endpoints only through other boxes. */
  | 'partial'
  /** It reaches none directly, but other boxes reach some. */
  | 'cutOff'
  /** Neither it nor a box that it asked reaches any. */
  | 'none';

/**
 * Names the access of a box to the endpoints.
 *
 * @example findEndpointAccess({ total: 6, tunnelled: 4, unreachable: 2 }) // 'cutOff'
 */
export function findEndpointAccess({ total, tunnelled, unreachable }: EndpointCounts): EndpointAccess {
  if (total > 0 && unreachable === total) return 'none';
  if (tunnelled === 0) return 'direct';
  return tunnelled + unreachable === total ? 'cutOff' : 'partial';
}
