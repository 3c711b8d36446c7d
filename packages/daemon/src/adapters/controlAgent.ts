/**
 * The HTTP client for control calls (platform and endpoint reports). Its traffic is counted on the sockets, which includes
 * headers.
 */
import type { Socket } from 'node:net';
import { Agent, buildConnector } from 'undici';

const CONNECTIONS_PER_ORIGIN = 4;

/** An HTTP client that counts the bytes of its traffic. */
export class ControlAgent {
  readonly agent: Agent;
  private closedSocketBytes = 0;
  private readonly openSockets = new Set<Socket>();

  constructor() {
    const connector = buildConnector({});
    this.agent = new Agent({
      connections: CONNECTIONS_PER_ORIGIN,
      connect: (options, callback) =>
        connector(options, (...result) => {
          if (result[1] !== null) this.trackSocket(result[1]);
          callback(...result);
        }),
    });
  }

  /** Bytes sent and received on all connections so far. */
  get bytes(): number {
    let bytes = this.closedSocketBytes;
    for (const socket of this.openSockets) bytes += socket.bytesRead + socket.bytesWritten;
    return bytes;
  }

  private trackSocket(socket: Socket): void {
    this.openSockets.add(socket);
    socket.once('close', () => {
      this.openSockets.delete(socket);
      this.closedSocketBytes += socket.bytesRead + socket.bytesWritten;
    });
  }
}
