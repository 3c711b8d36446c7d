/** The open connections of callers, and how many requests each has carried. */
import type { Server } from 'node:http';
import type { Socket } from 'node:net';

/** Keeps the open connections of one server. */
export class CallerConnections {
  private readonly requestCounts = new Map<Socket, number>();

  constructor(private readonly server: Server) {
    server.on('connection', (socket: Socket) => {
      this.requestCounts.set(socket, 0);
      socket.once('close', () => this.requestCounts.delete(socket));
    });
  }

  /** Counts a request; returns how many its connection carried before. */
  countRequest(socket: Socket): number {
    const earlier = this.requestCounts.get(socket) ?? 0;
    this.requestCounts.set(socket, earlier + 1);
    return earlier;
  }

  /** Closes the connections without a request in progress; returns how many they were. */
  closeIdle(): number {
    const open = [...this.requestCounts.keys()].filter(({ destroyed }) => !destroyed);
    this.server.closeIdleConnections();
    return open.filter(({ destroyed }) => destroyed).length;
  }
}
