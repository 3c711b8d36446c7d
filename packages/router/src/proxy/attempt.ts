/**
 * One attempt: a request sent to one endpoint. It tells what happened in terms that decide whether the request may be
 * sent again: nothing was sent, the endpoint vouches that it did not run, or it may have run.
 */
import type { Socket } from 'node:net';
import type { Dispatcher } from 'undici';
import type { ResponseHeaders, HttpDialect } from '../httpDialect.js';
import type { ResponseMetadata } from '../records.js';
import type { HealthSignal } from '../systems/endpointHealth.js';
import type { EndpointRow } from '../tables/endpointTable.js';
import { isCloseDelimited } from './forwardHeaders.js';
import type { ConnectFailure, EndpointConnection, EndpointConnections } from './endpointConnections.js';

/** Why an answer is of no use. The request may have run in each of these cases. */
export type BreakReason =
  /** The connection ended before the answer did, or the answer was no HTTP. */
  | 'connectionLost'
  /** The answer carries the id of another request. */
  | 'foreignAnswer'
  /** A success without a seal. */
  | 'unsealed';

/** The head of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: ResponseHeaders;
  readonly facts: ResponseMetadata;
}

/** Why an attempt ended before its request was sent. */
export type UnsentReason =
  | ConnectFailure
  /** The endpoint stopped accepting requests while the attempt waited for a connection. */
  | 'endpointDeclined'
  | CallerObstacle;

/** Why a request is of no use to its caller any more. */
export type CallerObstacle =
  /** The caller closed its connection. */
  'callerLeft' | 'deadlinePassed';

/**
 * Maps the reason of an unsent attempt to a health sign of its endpoint; undefined if it says nothing about the endpoint.
 *
 * @example findHealthSign('connectionLimit') // undefined
 */
export function findHealthSign(reason: UnsentReason): HealthSignal | undefined {
  switch (reason) {
    case 'connectionLimit':
    case 'endpointDeclined':
    case 'callerLeft':
    case 'deadlinePassed':
      return undefined;
    case 'connectRefused':
    case 'connectTimedOut':
    case 'connectBroken':
      return reason;
  }
}

/** What happens to an attempt. After `unsent`, `notRun`, `end` and `broken` nothing more comes. */
export type AttemptEvent =
  | { readonly type: 'sent' }
  | { readonly type: 'unsent'; readonly reason: UnsentReason }
  | { readonly type: 'notRun'; readonly head: AnswerHead }
  | { readonly type: 'head'; readonly head: AnswerHead }
  | { readonly type: 'data'; readonly chunk: Buffer }
  | { readonly type: 'end' }
  | { readonly type: 'broken'; readonly reason: BreakReason; readonly detail: string };

/** A request as it goes to an endpoint. */
export interface ForwardedRequest {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  /** Name and value in turn. */
  readonly headers: string[];
  readonly body: Buffer | undefined;
}

/** What an attempt works with. */
export interface AttemptOptions {
  readonly row: EndpointRow;
  readonly connections: EndpointConnections;
  readonly dialect: HttpDialect;
  /** Why the request is no longer wanted; checked once everything that has arrived from the caller is read. */
  readonly findAbortReason: () => CallerObstacle | undefined;
  /** Whether the endpoint still accepts requests; checked after the connection has been acquired. */
  readonly maySend: () => boolean;
  /** Builds the request at the moment of sending, so that the time left is right. */
  readonly createRequest: () => ForwardedRequest;
  readonly maxIdleMs: number;
  readonly maxConnections: number;
  readonly onEvent: (attempt: Attempt, event: AttemptEvent) => void;
  /** Called for the head of every final response, including responses that the attempt then discards. */
  readonly onAnswerFacts: (row: EndpointRow, facts: ResponseMetadata) => void;
}

/** The library takes a name for TLS; its types do not say so. */
interface PlainDispatchOptions extends Dispatcher.DispatchOptions {
  readonly servername: string;
}

/**
 * Without a name the library looks, for each request, whether the caller's `Host` is an address, which costs more than any other
 * step of sending it. The name is never sent: connections to endpoints are plain.
 */
const UNUSED_SERVER_NAME = 'endpoint';

type AttemptPhase =
  | { readonly type: 'connecting' }
  | { readonly type: 'open'; readonly connection: EndpointConnection }
  | { readonly type: 'over' };

const LEAST_SUCCESS = 200;
const LEAST_REDIRECT = 300;

/**
 * Whether a connection that ended was reset. Where a reset follows the last bytes closely, Node reports a regular end;
 * but a connection that was reset has no peer any more.
 */
function wasReset(socket: Socket): boolean {
  return socket.errored !== null || socket.remotePort === undefined;
}

/**
 * Resolves once the loop has read its sockets again. A caller that gave up while this process stood still has sent its
 * request and the close of its connection; the loop reads the close one turn after the request. The same holds for the
 * close of a kept connection to an endpoint.
 */
function readSockets(): Promise<void> {
  // The first one runs before the sockets are read again, the second one after.
  return new Promise((resolve) => setImmediate(() => setImmediate(resolve)));
}

/** A request at one endpoint. */
export class Attempt {
  readonly row: EndpointRow;
  /** When the request was handed to the connection; 0 before. Silence counts from here: later if this process stood still. */
  sentAtMs = 0;
  /** When the request was handed to the connection. */
  handedOverAtMs = 0;
  /** When a second endpoint was wanted beside it last. */
  hedgeWantedAtMs = -Infinity;
  /** Its connection said nothing for so long that others like it were closed. */
  isDoubted = false;
  private phase: AttemptPhase = { type: 'connecting' };
  private controller: Dispatcher.DispatchController | undefined;
  /** The rest of the answer is read and dropped, so that the connection can be used again. */
  private isDiscarded = false;
  private notRunHead: AnswerHead | undefined;
  /** The answer has no length: it is whole if its connection ends regularly. */
  private endsWithConnection = false;

  constructor(private readonly options: AttemptOptions) {
    this.row = options.row;
    this.row.inFlight += 1;
  }

  /** Connects and sends. */
  async start(): Promise<void> {
    const { row, connections, maxIdleMs, maxConnections } = this.options;
    await readSockets();
    if (this.isOver) return;
    const obstacle = this.options.findAbortReason();
    if (obstacle !== undefined) return this.finish({ type: 'unsent', reason: obstacle });
    const acquired = await connections.acquire(row, maxIdleMs, maxConnections);
    if (this.isOver) {
      if (acquired.ok) connections.release(row, acquired.val);
      return;
    }
    if (acquired.err) return this.finish({ type: 'unsent', reason: acquired.val });
    if (!this.options.maySend()) {
      connections.release(row, acquired.val);
      return this.finish({ type: 'unsent', reason: 'endpointDeclined' });
    }
    this.phase = { type: 'open', connection: acquired.val };
    this.send(acquired.val);
  }

  /** Ends the attempt and its connection; the endpoint sees that nobody waits. */
  cancel(): void {
    const { phase } = this;
    if (phase.type === 'over') return;
    this.close();
    if (phase.type === 'open') phase.connection.socket.destroy();
  }

  private get isOver(): boolean {
    return this.phase.type === 'over';
  }

  /** Whether it goes on a connection that carried a request before. */
  get isOnKeptConnection(): boolean {
    return this.phase.type === 'open' && this.phase.connection.isKept;
  }

  /** Loses interest in the rest of an answer that is not needed. */
  discard(): void {
    this.isDiscarded = true;
  }

  /** Stops reading until `resume`: the caller reads more slowly than the endpoint writes. */
  pause(): void {
    this.controller?.pause();
  }

  /** Goes on reading. */
  resume(): void {
    if (this.phase.type === 'open' && this.controller?.paused === true) this.controller.resume();
  }

  private send(connection: EndpointConnection): void {
    const request = this.options.createRequest();
    this.emit({ type: 'sent' });
    const options: PlainDispatchOptions = {
      method: request.method as Dispatcher.HttpMethod,
      path: request.path,
      headers: request.headers,
      body: request.body ?? null,
      servername: UNUSED_SERVER_NAME,
    };
    connection.client.dispatch(options, {
      onRequestStart: (controller) => {
        this.controller = controller;
        if (this.isOver) connection.socket.destroy();
      },
      onResponseStart: (_controller, status, headers) => this.handleHead(request, status, headers),
      onResponseData: (_controller, chunk) => this.handleData(chunk),
      onResponseEnd: () => this.handleEnd(connection),
      onResponseError: (_controller, error) => this.breakOff('connectionLost', error.message),
    });
  }

  private handleHead(request: ForwardedRequest, status: number, headers: ResponseHeaders): void {
    if (status < LEAST_SUCCESS) return;
    const facts = this.options.dialect.readResponse(status, headers);
    this.options.onAnswerFacts(this.row, facts);
    if (this.isOver) return;
    const head = { status, headers, facts };
    this.endsWithConnection = isCloseDelimited(headers);
    if (facts.requestId !== undefined && facts.requestId !== request.requestId) {
      return this.breakOff('foreignAnswer', `answer to ${facts.requestId}`);
    }
    if (facts.isNotRun) {
      this.notRunHead = head;
      return;
    }
    const isSuccess = status >= LEAST_SUCCESS && status < LEAST_REDIRECT;
    if (facts.requestId === undefined) return this.breakOff('foreignAnswer', 'answer without a request id');
    if (isSuccess && !facts.isSealed) return this.breakOff('unsealed', `status ${status}`);
    this.emit({ type: 'head', head });
  }

  private handleData(chunk: Buffer): void {
    if (this.phase.type !== 'open' || this.isDiscarded || this.notRunHead !== undefined) return;
    this.emit({ type: 'data', chunk });
  }

  private handleEnd(connection: EndpointConnection): void {
    if (this.isOver) return;
    const { connections, row } = this.options;
    if (this.endsWithConnection && wasReset(connection.socket)) {
      return this.breakOff('connectionLost', 'reset in an answer without a length');
    }
    this.close();
    // The library decides in this turn whether the connection can be kept.
    setImmediate(() => connections.release(row, connection));
    if (this.notRunHead !== undefined) this.emit({ type: 'notRun', head: this.notRunHead });
    else if (!this.isDiscarded) this.emit({ type: 'end' });
  }

  private breakOff(reason: BreakReason, detail: string): void {
    const { phase } = this;
    if (phase.type === 'over') return;
    // A refusal is true even if its body does not arrive whole.
    const { notRunHead } = this;
    this.finish(
      notRunHead === undefined ? { type: 'broken', reason, detail } : { type: 'notRun', head: notRunHead },
    );
    if (phase.type === 'open') phase.connection.socket.destroy();
  }

  private finish(event: AttemptEvent): void {
    this.close();
    if (!this.isDiscarded) this.emit(event);
  }

  private close(): void {
    this.phase = { type: 'over' };
    this.row.inFlight -= 1;
  }

  private emit(event: AttemptEvent): void {
    this.options.onEvent(this, event);
  }
}
