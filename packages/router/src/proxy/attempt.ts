/**
 * Sends a request to one endpoint. The events of an attempt distinguish the cases that decide whether the request may
 * be sent again: nothing was sent, the endpoint confirms that it did not run, or it may have run.
 */
import { isFinalStatus, isInformational } from '@hazelwalk/core';
import type { Dispatcher } from 'undici';
import type { AdmissionBasis } from '../admission/admission.js';
import { afterSocketReads } from '../afterSocketReads.js';
import type { HttpDialect, ResponseHeaders } from '../httpDialect.js';
import type { ResponseMetadata } from '../records.js';
import type { EndpointRow } from '../tables/endpointTable.js';
import { isTunnelLost } from '../tunnels/tunnelStream.js';
import { isCloseDelimited } from './forwardHeaders.js';
import type { AbortReason, AttemptEvent, BreakReason, ResponseHead, SendObstacle } from './attemptEvent.js';
import { closeInResponse } from './endpointConnections.js';
import type { EndpointConnection, EndpointConnections } from './endpointConnections.js';
import { ReadPacing } from './readPacing.js';

/** A request as it is sent to an endpoint. */
export interface ForwardedRequest {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  /** Name and value in turn. */
  readonly headers: string[];
  readonly body: Buffer | undefined;
}

/** Dependencies and limits of an attempt. */
export interface AttemptOptions {
  readonly row: EndpointRow;
  /** Why the request may be sent. */
  readonly basis: AdmissionBasis;
  /** Id of the last event that the caller has received, if the attempt resumes a stream. */
  readonly resumeAfter: string | undefined;
  readonly connections: EndpointConnections;
  readonly dialect: HttpDialect;
  /**
   * Returns why the request is no longer wanted, if so; called after all data received from the caller has been read.
   */
  readonly findAbortReason: () => AbortReason | undefined;
  /** Returns why the request may not be sent any more, if so; called after the connection has been acquired. */
  readonly findObstacle: (connection: EndpointConnection) => SendObstacle | undefined;
  /** Builds the request; called right before sending, so that the remaining time that it states is correct. */
  readonly createRequest: () => ForwardedRequest;
  readonly maxIdleMs: number;
  readonly maxConnections: number;
  readonly onEvent: (attempt: Attempt, event: AttemptEvent) => void;
  /** Called for the head of every final response, including responses that the attempt then discards. */
  readonly onResponseMetadata: (row: EndpointRow, metadata: ResponseMetadata) => void;
}

/** Undici accepts a server name for TLS here, but its types lack the option. */
interface PlainDispatchOptions extends Dispatcher.DispatchOptions {
  readonly servername: string;
}

/**
 * Without a server name undici checks for each request whether the caller's `Host` is an IP address, which costs more
 * than any other step of sending the request. The name is never sent, because connections to endpoints do not use
 * TLS.
 */
const UNUSED_SERVER_NAME = 'endpoint';

type AttemptPhase =
  | { readonly type: 'connecting' }
  | { readonly type: 'open'; readonly connection: EndpointConnection }
  | { readonly type: 'over' };

/** What is dropped of a response is read so far, and for so long, so that its connection can be reused; it may have no end. */
const MAX_DROPPED_BYTES = 65_536;
const MAX_DROPPED_MS = 1_000;
const MIN_REDIRECT_STATUS = 300;

/**
 * Resolves once the event loop has read its sockets again. If a caller gave up while this process was paused, both its
 * request and the close of its connection are waiting; the loop reads the close one turn after the request. The same
 * applies to the close of a kept-alive connection to an endpoint.
 */
function waitForSocketReads(): Promise<void> {
  return new Promise(afterSocketReads);
}

/** One attempt at one endpoint. */
export class Attempt {
  readonly row: EndpointRow;
  /** Why the request may be sent. */
  readonly basis: AdmissionBasis;
  /** Requests of this box and of others at the endpoint, as known when the request was sent. */
  believed = { inFlight: 0, peersInFlight: 0 };
  /** Id of the last event that the caller has received, if it resumes a stream. */
  readonly resumeAfter: string | undefined;
  /**
   * When the request was written to the connection; 0 before. The silence of the endpoint is measured from here, so
   * this is moved forward by each pause of this process.
   */
  sentAtMs = 0;
  /** When the request was written to the connection, regardless of pauses. */
  handedOverAtMs = 0;
  /** Software version of the endpoint when the request was sent; undefined if it is not known. */
  softwareVersion: string | undefined;
  /** When a hedge, or a move of the stream, was last requested. */
  retryWantedAtMs = -Infinity;
  /** Whether the idle connections to the endpoint were closed because this connection was silent for too long. */
  hasRetiredConnections = false;
  /** Name of the tunnel that carries it, in the logs of both boxes; undefined for a direct connection, and before it has one. */
  tunnel: string | undefined;
  /** Whether its silence was counted against the endpoint. */
  hasRecordedSilence = false;
  private phase: AttemptPhase = { type: 'connecting' };
  private controller: Dispatcher.DispatchController | undefined;
  private readonly pacing = new ReadPacing({
    pause: () => this.controller?.pause(),
    resume: () => {
      if (this.phase.type === 'open' && this.controller?.paused === true) this.controller.resume();
    },
  });
  /** The rest of the response is read and dropped, so that the connection can be reused. */
  private isDiscarded = false;
  private notRunHead: ResponseHead | undefined;
  private droppedBytes = 0;
  private dropTimer: NodeJS.Timeout | undefined;
  /** The response has no length: it is complete if its connection ends without a reset. */
  private endsWithConnection = false;

  constructor(private readonly options: AttemptOptions) {
    this.row = options.row;
    this.resumeAfter = options.resumeAfter;
    this.basis = options.basis;
    this.row.inFlight += 1;
  }

  /** Acquires a connection and sends the request. */
  async start(): Promise<void> {
    const { row, connections, maxIdleMs, maxConnections } = this.options;
    await waitForSocketReads();
    if (this.isOver) return;
    const abortReason = this.options.findAbortReason();
    if (abortReason !== undefined) return this.finish({ type: 'unsent', reason: abortReason });
    const acquired = await connections.acquire(row, maxIdleMs, maxConnections);
    if (this.isOver) {
      if (acquired.ok) connections.release(row, acquired.val);
      return;
    }
    if (acquired.err) return this.finish({ type: 'unsent', reason: acquired.val });
    const obstacle = this.options.findObstacle(acquired.val);
    if (obstacle !== undefined) {
      connections.release(row, acquired.val);
      return this.finish({ type: 'unsent', reason: obstacle });
    }
    this.phase = { type: 'open', connection: acquired.val };
    this.tunnel = acquired.val.tunnel;
    this.send(acquired.val);
  }

  /** Ends the attempt and closes its connection, so that the endpoint can stop working on the request. */
  cancel(): void {
    const { phase } = this;
    if (phase.type === 'over') return;
    this.close();
    if (phase.type === 'open') closeInResponse(phase.connection.socket);
  }

  private get isOver(): boolean {
    return this.phase.type === 'over';
  }

  /** Whether the connection has carried an earlier request. */
  get isOnKeptConnection(): boolean {
    return this.phase.type === 'open' && this.phase.connection.isKept;
  }

  /** Drops the rest of a response that is not needed, without further events. */
  discard(): void {
    this.isDiscarded = true;
    this.startDropping();
  }

  /** Stops reading until `resume` is called, because the caller reads more slowly than the endpoint writes. */
  pause(): void {
    this.pacing.hold('caller');
  }

  /** Continues reading after `pause`. */
  resume(): void {
    this.pacing.release('caller');
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
        if (this.isOver) closeInResponse(connection.socket);
      },
      onResponseStart: (_controller, status, headers) => this.handleHead(request, status, headers),
      onResponseData: (_controller, chunk) => this.handleData(chunk),
      onResponseEnd: () => this.handleEnd(connection),
      onResponseError: (_controller, error) =>
        this.breakOff(isTunnelLost(error) ? 'tunnelLost' : 'connectionLost', error.message),
    });
  }

  private handleHead(request: ForwardedRequest, status: number, headers: ResponseHeaders): void {
    if (isInformational(status)) return;
    // Its other fields are not used either, those about the endpoint included.
    if (!isFinalStatus(status)) return this.breakOff('invalidStatus', `status ${status}`);
    const metadata = this.options.dialect.readResponse(status, headers);
    this.options.onResponseMetadata(this.row, metadata);
    if (this.isOver) return;
    const head = { status, headers, metadata };
    this.endsWithConnection = isCloseDelimited(headers);
    if (metadata.requestId !== undefined && metadata.requestId !== request.requestId) {
      return this.breakOff('foreignAnswer', `answer to ${metadata.requestId}`);
    }
    if (metadata.isNotRun) {
      this.notRunHead = head;
      return this.startDropping();
    }
    const isSuccess = status < MIN_REDIRECT_STATUS;
    if (metadata.requestId === undefined)
      return this.breakOff('foreignAnswer', 'answer without a request id');
    if (isSuccess && !metadata.isSealed) return this.breakOff('unsealed', `status ${status}`);
    this.emit({ type: 'head', head });
  }

  private handleData(chunk: Buffer): void {
    if (this.phase.type !== 'open') return;
    this.pacing.recordRead(chunk.length);
    if (!this.isDiscarded && this.notRunHead === undefined) return this.emit({ type: 'data', chunk });
    this.droppedBytes += chunk.length;
    if (this.droppedBytes > MAX_DROPPED_BYTES) this.stopDropping();
  }

  private startDropping(): void {
    if (!this.isOver) this.dropTimer ??= setTimeout(() => this.stopDropping(), MAX_DROPPED_MS).unref();
  }

  private stopDropping(): void {
    this.breakOff('connectionLost', 'the response did not end');
  }

  private handleEnd(connection: EndpointConnection): void {
    if (this.isOver) return;
    const { connections, row } = this.options;
    if (this.endsWithConnection && connection.wasReset()) {
      return this.breakOff('connectionLost', 'reset in an answer without a length');
    }
    this.close();
    // Undici decides within this turn of the loop whether the connection can be kept.
    setImmediate(() => connections.release(row, connection));
    if (this.notRunHead !== undefined) this.emit({ type: 'notRun', head: this.notRunHead });
    else if (!this.isDiscarded) this.emit({ type: 'end' });
  }

  /** Ends the attempt and closes its connection, as its response cannot be used. */
  breakOff(reason: BreakReason, detail: string): void {
    const { phase } = this;
    if (phase.type === 'over') return;
    // The confirmation in the head remains valid even if the body is incomplete.
    const { notRunHead } = this;
    this.finish(
      notRunHead === undefined ? { type: 'broken', reason, detail } : { type: 'notRun', head: notRunHead },
    );
    if (phase.type === 'open') closeInResponse(phase.connection.socket);
  }

  private finish(event: AttemptEvent): void {
    this.close();
    if (!this.isDiscarded) this.emit(event);
  }

  private close(): void {
    clearTimeout(this.dropTimer);
    this.phase = { type: 'over' };
    this.row.inFlight -= 1;
  }

  private emit(event: AttemptEvent): void {
    this.options.onEvent(this, event);
  }
}
