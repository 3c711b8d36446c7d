/** TCP keep-alive of connections on which nothing may be sent for long. */

/** Idle time after which probes are sent: a box or an endpoint without power closes nothing. */
export const KEEP_ALIVE_PROBE_MS = 5_000;
