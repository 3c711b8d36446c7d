/** A TCP proxy on loopback in front of one server that simulates link faults. */
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { pause } from './httpTools.js';

/** The fault that a link simulates. */
export type LinkFault =
  | { readonly type: 'none' }
  /** Bytes are delayed in both directions. */
  | { readonly type: 'delay'; readonly delayMs: number }
  /** Bytes are held back in both directions and delivered when the fault ends. */
  | { readonly type: 'silence' }
  /** As `silence`, but only for bytes to the server. */
  | { readonly type: 'cutToServer' }
  /** As `silence`, but only for bytes to the client. */
  | { readonly type: 'cutToClient' }
  /** New connections are reset. */
  | { readonly type: 'refuse' };

interface Direction {
  readonly from: Socket;
  readonly to: Socket;
  readonly side: 'toServer' | 'toClient';
  /** Resolves after the last delayed delivery. Deliveries are chained, because a link delays bytes and never reorders them. */
  lastDelivery: Promise<void>;
  pendingCount: number;
  /** Whether bytes are held back whatever the fault. */
  isSilent: boolean;
}

const NO_PENDING_DELIVERY = { lastDelivery: Promise.resolve(), pendingCount: 0, isSilent: false };

/** A link to a server, whose port can change. */
export class LinkProxy {
  /** Connections accepted so far. */
  accepted = 0;
  private currentFault: LinkFault = { type: 'none' };
  private readonly directions = new Set<Direction>();
  private readonly server: Server = createServer((client) => this.accept(client));

  constructor(private serverPort: number) {}

  /** Binds to a free loopback port and returns it. */
  async listen(): Promise<number> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return (this.server.address() as AddressInfo).port;
  }

  /** Connects new clients to another server port; open connections stay. */
  moveTo(serverPort: number): void {
    this.serverPort = serverPort;
  }

  /** Sets the fault for new and open connections; `none` ends it. */
  setFault(fault: LinkFault): void {
    this.currentFault = fault;
    for (const direction of this.directions) this.applyFault(direction);
  }

  /** Silences every open connection for good; new ones work. */
  silenceOpen(): void {
    for (const direction of this.directions) {
      direction.isSilent = true;
      this.applyFault(direction);
    }
  }

  /** Resets every open connection. */
  resetAll(): void {
    for (const { from } of this.directions) from.resetAndDestroy();
  }

  /** Resets every open connection, and each new one until `heal` is called. */
  cut(): void {
    this.setFault({ type: 'refuse' });
    this.resetAll();
  }

  /** Ends any fault. */
  heal(): void {
    this.setFault({ type: 'none' });
  }

  /** Closes the proxy and all its connections. */
  close(): void {
    this.server.close();
    for (const { from } of this.directions) from.destroy();
  }

  private accept(client: Socket): void {
    this.accepted += 1;
    if (this.currentFault.type === 'refuse') return void client.resetAndDestroy();
    const server = connect(this.serverPort, '127.0.0.1');
    this.forward({ from: client, to: server, side: 'toServer', ...NO_PENDING_DELIVERY });
    this.forward({ from: server, to: client, side: 'toClient', ...NO_PENDING_DELIVERY });
  }

  private forward(direction: Direction): void {
    const { from, to } = direction;
    this.directions.add(direction);
    from.on('data', (chunk: Buffer) => this.scheduleDelivery(direction, () => to.write(chunk)));
    from.on('end', () => this.scheduleDelivery(direction, () => to.end()));
    from.on('error', () => to.resetAndDestroy());
    from.on('close', () => {
      this.directions.delete(direction);
      if (!from.readableEnded) to.destroy();
    });
    this.applyFault(direction);
  }

  private scheduleDelivery(direction: Direction, deliver: () => void): void {
    const send = (): void => void (direction.to.destroyed || deliver());
    const delayMs = this.currentFault.type === 'delay' ? this.currentFault.delayMs : 0;
    if (delayMs === 0 && direction.pendingCount === 0) return send();
    const dueAtMs = performance.now() + delayMs;
    direction.pendingCount += 1;
    direction.lastDelivery = direction.lastDelivery
      .then(() => pause(Math.max(0, dueAtMs - performance.now())))
      .then(() => {
        direction.pendingCount -= 1;
        send();
      });
  }

  private applyFault({ from, side, isSilent }: Direction): void {
    if (isSilent || isBlocked(this.currentFault, side)) from.pause();
    else from.resume();
  }
}

function isBlocked(fault: LinkFault, side: Direction['side']): boolean {
  switch (fault.type) {
    case 'silence':
      return true;
    case 'cutToServer':
      return side === 'toServer';
    case 'cutToClient':
      return side === 'toClient';
    case 'none':
    case 'delay':
    case 'refuse':
      return false;
  }
}
