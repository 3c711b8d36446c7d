/** The endpoints of a virtual fleet, and what is counted of them. */
import type { ListedEndpoint } from '../records.js';
import type { Arrival } from './arrivals.js';

/** An endpoint of a virtual fleet. */
export interface VirtualEndpoint {
  readonly listing: ListedEndpoint;
  inFlight: number;
  /** Factor by which its service time exceeds that of the other endpoints. */
  slowdownFactor: number;
  acceptedCount: number;
  /** End of its cold start, until which it sustains only a low load. */
  coldUntilMs: number;
  /** Arrival times of requests while it was cold. */
  readonly coldArrivalsMs: number[];
  /** Whether its responses announce that it is about to leave. */
  isLeaving: boolean;
  /** Back-off that it requests when it rejects every request; 0 while it serves requests. */
  backOffMs: number;
  readonly queue: (() => void)[];
}

/** Total load of the endpoints of one service, and the requests that arrived at them. */
export interface ServiceStats {
  readonly endpoints: number;
  inFlight: number;
  readonly arrivals: Arrival[];
}

/** Creates an endpoint that is warm and idle. */
export function createVirtualEndpoint(listing: ListedEndpoint): VirtualEndpoint {
  return {
    listing,
    inFlight: 0,
    slowdownFactor: 1,
    acceptedCount: 0,
    coldUntilMs: 0,
    coldArrivalsMs: [],
    isLeaving: false,
    backOffMs: 0,
    queue: [],
  };
}
