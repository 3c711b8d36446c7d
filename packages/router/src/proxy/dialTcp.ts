/** Opens TCP connections on which nothing may be sent for long. */
import { connect } from 'node:net';
import type { Socket } from 'node:net';

/** Idle time after which probes are sent: a box or an endpoint without power closes nothing. */
export const KEEP_ALIVE_PROBE_MS = 5_000;

/** Starts to connect to a host and port. */
export type Dial = (address: { readonly host: string; readonly port: number }) => Socket;

/**
 * Connects over TCP. Idle connections are probed, so that a lost link closes them.
 *
 * @example dialTcp({ host: '10.0.0.1', port: 8229 }).once('connect', () => start());
 */
export const dialTcp: Dial = ({ host, port }) =>
  connect({ host, port, noDelay: true, keepAlive: true, keepAliveInitialDelay: KEEP_ALIVE_PROBE_MS });
