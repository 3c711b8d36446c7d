/**
 * The admin interface of a box: its status, the declared file in force, the placement of a chat, and a planned stop.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { guardListener } from '@hazelwalk/http';
import { listenOn } from './addresses.js';

/** Callbacks of the daemon that the server uses. */
export interface AdminServerOptions {
  readonly readStatus: () => unknown;
  /** Returns the text of the declared file in force, as published. */
  readonly readDeclaredFile: () => string;
  readonly explainChat: (model: string, chat: string) => unknown;
  readonly requestStop: () => void;
}

/** Serves requests of operators' tools. */
export class AdminServer {
  private readonly server: Server;

  constructor(private readonly options: AdminServerOptions) {
    this.server = guardListener(createServer((req, res) => this.handle(req, res)));
  }

  /** Binds the listener. */
  listen(address: string): Promise<string> {
    return listenOn(this.server, address);
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private handle(req: IncomingMessage, res: ServerResponse): void {
    const url = new URL(req.url ?? '/', 'http://box');
    const route = `${req.method} ${url.pathname}`;
    switch (route) {
      case 'GET /v1/status':
        return sendJson(res, this.options.readStatus());
      case 'GET /v1/declared':
        return sendJson(res, { text: this.options.readDeclaredFile() });
      case 'GET /v1/explain': {
        const { searchParams } = url;
        return sendJson(
          res,
          this.options.explainChat(searchParams.get('model') ?? '', searchParams.get('chat') ?? ''),
        );
      }
      case 'POST /v1/drain':
        sendJson(res, { draining: true });
        return this.options.requestStop();
      default:
        res.statusCode = 404;
        return void res.end();
    }
  }
}

function sendJson(res: ServerResponse, value: unknown): void {
  res.setHeader('content-type', 'application/json');
  res.end(JSON.stringify(value));
}
