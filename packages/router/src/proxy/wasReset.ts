/** Detects that a connection was reset. */
import type { Socket } from 'node:net';

/**
 * Whether a connection that ended was reset. If a reset follows the last bytes closely, Node reports a regular end, but
 * the socket no longer has a remote port.
 *
 * @example socket.on('end', () => (wasReset(socket) ? markBroken() : finish()))
 */
export function wasReset(socket: Socket): boolean {
  return socket.errored !== null || socket.remotePort === undefined;
}
