/** Ends one request: by a response of the router's own, by closing the connection, or after a complete response. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ResultCode } from '@hazelwalk/core';
import type { CallerRequest } from '../records.js';
import type { RouterContext } from '../routerContext.js';
import type { ExchangeLogFields } from './exchangeLog.js';
import { logOutcome } from './exchangeLog.js';
import type { RouterRefusal } from './refusal.js';
import { sendRefusal } from './refusal.js';

/** A caller that reads more slowly than this loses the rest of a response that broke off. */
const MAX_FLUSH_MS = 1_000;

/** The request, and what the end of it needs to know. */
export interface RequestEndingOptions {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly request: CallerRequest;
  /** Whether a part of the response was sent to the caller. */
  readonly hasResponseStarted: () => boolean;
  /** Called once, before the caller gets the last bytes. */
  readonly onEnded: (outcome: RequestOutcome) => void;
  readonly createLogFields: () => ExchangeLogFields;
}

/** How a request ended. */
export type RequestOutcome = 'answered' | ResultCode;

/** The end of one request; only the first call has an effect. */
export class RequestEnding {
  private isOver = false;

  constructor(
    private readonly context: RouterContext,
    private readonly options: RequestEndingOptions,
  ) {}

  get hasEnded(): boolean {
    return this.isOver;
  }

  /** Ends a request whose caller needs no response from the router. */
  end(outcome: RequestOutcome, detail?: string): void {
    if (this.isOver) return;
    this.isOver = true;
    this.options.onEnded(outcome);
    logOutcome(this.context, this.options.createLogFields(), outcome, detail);
  }

  /**
   * Ends a request that may have run: with an error, or, if its response has started, by closing the connection, so
   * that the caller sees that the response is incomplete.
   */
  fail(detail: string, code: ResultCode = 'endpointBroke'): void {
    if (this.isOver) return;
    const hasStarted = this.options.hasResponseStarted();
    this.end(code, detail);
    if (hasStarted) closeAfterFlush(this.options.res);
    else this.respond({ code, ran: 'unknown', retryAfterMs: 0 }, false);
  }

  /** Ends a request that did not run and will not run. */
  refuse(code: ResultCode, retryAfterMs: number, detail?: string): void {
    if (this.isOver) return;
    this.end(code, detail);
    this.respond({ code, ran: 'no', retryAfterMs }, !this.options.req.complete);
  }

  private respond(refusal: RouterRefusal, closes: boolean): void {
    const { res, request } = this.options;
    sendRefusal(res, this.context.dialect, refusal, request.requestId, closes);
  }
}

/** Closes the connection of an incomplete response: the caller gets what has been written, and no regular end. */
function closeAfterFlush(res: ServerResponse): void {
  const { socket } = res;
  if (socket === null || socket === undefined) return void res.destroy();
  socket.destroySoon();
  setTimeout(() => socket.destroy(), MAX_FLUSH_MS).unref();
}
