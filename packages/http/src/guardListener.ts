/** Listeners that are not for callers, such as those for checks, metrics and operators: few connections, which end soon. */
import type { Server } from 'node:http';
import { formatRawProblem } from '@hazelwalk/core';
import { CallerConnections } from './callerConnections.js';
import { DEFAULT_CALLER_RESOURCE_LIMITS } from './callerResources.js';

/** What all connections to one such listener may take together. */
const TOTALS = { connections: 64, heldBytes: 4_194_304, heapBytes: 4_194_304 };
const MAX_HEAD_BYTES = 16_384;
/** Longest time until the head of a request, and until the whole request, has arrived. */
const REQUEST_TIMEOUT_MS = 5_000;

/**
 * Limits the connections of an HTTP server: a further one is accepted, and the one is closed that has been silent for longest. To be
 * called before the server listens.
 *
 * @example guardListener(createServer(handle)).listen(8_220)
 */
export function guardListener(server: Server): Server {
  server.headersTimeout = REQUEST_TIMEOUT_MS;
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  new CallerConnections(server, {
    totals: TOTALS,
    limits: DEFAULT_CALLER_RESOURCE_LIMITS,
    now: () => performance.now(),
    readMaxHeadBytes: () => MAX_HEAD_BYTES,
    formatRefusal: (code) => formatRawProblem({ code, ran: 'no', retryAfterMs: 0 }),
    onEvicted: () => {},
  });
  return server;
}
