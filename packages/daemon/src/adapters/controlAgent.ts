/**
 * The HTTP client for control calls (platform and reports), which counts its bytes on the sockets themselves.
 */
import type { Socket } from 'node:net';
import { Agent, buildConnector } from 'undici';

const CONNECTIONS_PER_ORIGIN = 4;

/** An HTTP client whose traffic counts as control. */
export class ControlAgent {
  readonly agent: Agent;
  private closedBytes = 0;
  private readonly open = new Set<Socket>();

  constructor() {
    const connector = buildConnector({});
    this.agent = new Agent({
      connections: CONNECTIONS_PER_ORIGIN,
      connect: (options, callback) =>
        connector(options, (...result) => {
          if (result[1] !== null) this.track(result[1]);
          callback(...result);
        }),
    });
  }

  /** Bytes sent and received so far. */
  get bytes(): number {
    let bytes = this.closedBytes;
    for (const socket of this.open) bytes += socket.bytesRead + socket.bytesWritten;
    return bytes;
  }

  private track(socket: Socket): void {
    this.open.add(socket);
    socket.once('close', () => {
      this.open.delete(socket);
      this.closedBytes += socket.bytesRead + socket.bytesWritten;
    });
  }
}
