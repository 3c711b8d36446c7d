/** A loopback proxy in front of one server, with the faults of a link. */
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { pause } from '@hazelwalk/standins';

/** What a link does to its bytes. */
export type LinkFault =
  | { readonly type: 'none' }
  /** Bytes arrive so much later, in both directions. */
  | { readonly type: 'delay'; readonly delayMs: number }
  /** Nothing arrives in either direction; it arrives once the fault is over. */
  | { readonly type: 'silence' }
  | { readonly type: 'cutToServer' }
  | { readonly type: 'cutToClient' }
  /** New connections are reset. */
  | { readonly type: 'refuse' };

interface Direction {
  readonly from: Socket;
  readonly to: Socket;
  readonly side: 'toServer' | 'toClient';
  /** What is under way, one after the other: a link delays bytes and never reorders them. */
  underWay: Promise<void>;
  underWayCount: number;
}

const NOTHING_UNDER_WAY = { underWay: Promise.resolve(), underWayCount: 0 };

/** One link; the server behind it may move. */
export class LinkProxy {
  private current: LinkFault = { type: 'none' };
  private readonly directions = new Set<Direction>();
  private readonly server: Server = createServer((client) => this.accept(client));

  constructor(private serverPort: number) {}

  /** Binds an address and returns its port. */
  async listen(): Promise<number> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return (this.server.address() as AddressInfo).port;
  }

  /** Leads new connections to another port. */
  moveTo(serverPort: number): void {
    this.serverPort = serverPort;
  }

  /** Begins or ends a fault, also for open connections. */
  setFault(fault: LinkFault): void {
    this.current = fault;
    for (const direction of this.directions) this.applyFault(direction);
  }

  /** Resets every open connection. */
  resetAll(): void {
    for (const { from } of this.directions) from.resetAndDestroy();
  }

  /** Ends the link and all its connections. */
  close(): void {
    this.server.close();
    for (const { from } of this.directions) from.destroy();
  }

  private accept(client: Socket): void {
    if (this.current.type === 'refuse') return void client.resetAndDestroy();
    const server = connect(this.serverPort, '127.0.0.1');
    this.forward({ from: client, to: server, side: 'toServer', ...NOTHING_UNDER_WAY });
    this.forward({ from: server, to: client, side: 'toClient', ...NOTHING_UNDER_WAY });
  }

  private forward(direction: Direction): void {
    const { from, to } = direction;
    this.directions.add(direction);
    from.on('data', (chunk: Buffer) => this.pass(direction, () => to.write(chunk)));
    from.on('end', () => this.pass(direction, () => to.end()));
    from.on('error', () => to.resetAndDestroy());
    from.on('close', () => {
      this.directions.delete(direction);
      if (!from.readableEnded) to.destroy();
    });
    this.applyFault(direction);
  }

  private pass(direction: Direction, deliver: () => void): void {
    const send = (): void => void (direction.to.destroyed || deliver());
    const delayMs = this.current.type === 'delay' ? this.current.delayMs : 0;
    if (delayMs === 0 && direction.underWayCount === 0) return send();
    const dueAtMs = performance.now() + delayMs;
    direction.underWayCount += 1;
    direction.underWay = direction.underWay
      .then(() => pause(Math.max(0, dueAtMs - performance.now())))
      .then(() => {
        direction.underWayCount -= 1;
        send();
      });
  }

  private applyFault({ from, side }: Direction): void {
    if (isHeld(this.current, side)) from.pause();
    else from.resume();
  }
}

function isHeld(fault: LinkFault, side: Direction['side']): boolean {
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
