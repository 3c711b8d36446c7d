/** Waits until the event loop has read its sockets again. */

/**
 * Calls back once the event loop has read its sockets: after a pause of the process, messages may be waiting in them.
 *
 * @example afterSocketReads(() => handleTimeout()) // an answer that has arrived by then is handled first
 */
export function afterSocketReads(callback: () => void): void {
  // The first callback runs before the sockets are read again, the second one after.
  setImmediate(() => setImmediate(callback));
}
