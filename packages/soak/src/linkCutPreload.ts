/**
 * Loaded into the process of a box before the box itself: cuts its connections to endpoints while a file orders it, as a fault of
 * this box's links would. Connections to the store and to other boxes stay.
 */
import { readFileSync } from 'node:fs';
import type { SocketConnectOpts } from 'node:net';
import { Socket } from 'node:net';
import type { LinkCut } from '@hazelwalk/standins/linkCut';
import { CLOSED_PORT } from '@hazelwalk/standins/linkCut';
import { LINK_CUT_VARIABLES, readLinkCut } from './linkCut.js';

const POLL_MS = 50;

const { [LINK_CUT_VARIABLES.file]: file = '', [LINK_CUT_VARIABLES.otherPorts]: otherPorts = '' } =
  process.env;
const uncutPorts = new Set(otherPorts.split(',').map(Number));
const open = new Set<Socket>();
let cut: LinkCut | undefined;

/** Stops a connection in both directions. What is written meanwhile is lost, so it is reset at the end of the cut. */
function silence(socket: Socket): void {
  const { _handle: handle } = socket as unknown as { _handle: { readStop(): void } | null };
  handle?.readStop();
  socket._write = (): void => {};
  socket._writev = (): void => {};
}

function reset(socket: Socket): void {
  socket.destroy(Object.assign(new Error('read ECONNRESET'), { code: 'ECONNRESET' }));
}

function apply(next: LinkCut | undefined): void {
  if (next === cut) return;
  if (cut === 'hang' || next === 'reset') for (const socket of open) reset(socket);
  if (next === 'hang') for (const socket of open) silence(socket);
  cut = next;
}

type Connect = (this: Socket, ...args: unknown[]) => Socket;
const connect = Socket.prototype.connect as unknown as Connect;

function connectUnlessCut(this: Socket, ...args: unknown[]): Socket {
  // `net.connect` passes its arguments as one normalized array.
  const [options] = (Array.isArray(args[0]) ? args[0] : args) as [SocketConnectOpts];
  if (!('port' in options) || uncutPorts.has(options.port)) return connect.apply(this, args);
  open.add(this);
  this.once('close', () => open.delete(this));
  switch (cut) {
    case undefined:
      return connect.apply(this, args);
    case 'hang':
      return this;
    case 'reset':
    case 'refuse':
      options.port = CLOSED_PORT;
      return connect.apply(this, args);
  }
}

Socket.prototype.connect = connectUnlessCut as unknown as typeof Socket.prototype.connect;
setInterval(() => apply(readLinkCut(readFileSync(file, 'utf8'))), POLL_MS).unref();
