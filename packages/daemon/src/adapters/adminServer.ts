/**
 * The operators' interface of one box: status, why a chat goes where it goes, and a planned stop.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { listenOn } from './addresses.js';

/** What the server needs from the daemon. */
export interface AdminServerOptions {
  readonly readStatus: () => unknown;
  /** The declared file in force, as published. */
  readonly readDeclaredFile: () => string;
  readonly explainChat: (model: string, chat: string) => unknown;
  readonly requestStop: () => void;
}

/** Listens for operators' tools. */
export class AdminServer {
  private readonly server: Server;

  constructor(private readonly options: AdminServerOptions) {
    this.server = createServer((req, res) => this.handle(req, res));
  }

  /** Binds the listener. */
  listen(address: string): Promise<string> {
    return listenOn(this.server, address);
  }

  /** Stops listening. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private handle(req: IncomingMessage, res: ServerResponse): void {
    const url = new URL(req.url ?? '/', 'http://box');
    const route = `${req.method} ${url.pathname}`;
    switch (route) {
      case 'GET /v1/status':
        return answerJson(res, this.options.readStatus());
      case 'GET /v1/declared':
        return answerJson(res, { text: this.options.readDeclaredFile() });
      case 'GET /v1/explain': {
        const { searchParams } = url;
        return answerJson(
          res,
          this.options.explainChat(searchParams.get('model') ?? '', searchParams.get('chat') ?? ''),
        );
      }
      case 'POST /v1/drain':
        answerJson(res, { draining: true });
        return this.options.requestStop();
      default:
        res.statusCode = 404;
        return void res.end();
    }
  }
}

function answerJson(res: ServerResponse, value: unknown): void {
  res.setHeader('content-type', 'application/json');
  res.end(JSON.stringify(value));
}
