/**
 * One caller's request at its entry box: streams the request body to the owner of the endpoint and the response back to the
 * caller.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type {
  AnswerHeadFrame,
  AttemptRef,
  BoxId,
  DataFrame,
  EndFrame,
  EndpointId,
  Refusal,
  RequestHead,
  ResultCode,
  StreamFrame,
} from '@hazelwalk/core';
import type { EmitEvent } from '../coreLoop.js';
import { readHeader } from './headers.js';
import { createProblemBody } from '@hazelwalk/core';
import { sendProblem } from './problemJson.js';
import { StreamReceiver, StreamSender } from './streams.js';

/** The request, its HTTP objects and the callbacks of the daemon that an exchange uses. */
export interface ExchangeOptions {
  readonly requestId: string;
  /** Request id that the response contains: the caller's, or the box's own if the caller sent none. */
  readonly echoedId: string;
  readonly head: RequestHead;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly emit: EmitEvent;
  readonly send: (to: BoxId, frame: StreamFrame) => void;
}

interface Binding {
  readonly ref: AttemptRef;
  /** The box that accepted the request: the owner of the endpoint or, for a keyed call, of the key. */
  readonly ownerId: BoxId;
  readonly endpointId: EndpointId;
  readonly response: StreamReceiver;
  readonly body: StreamSender;
}

/** Receives a response at the box to which the endpoint's owner sends it. */
export interface ResponseSink {
  /** Binds the sink to the owner that accepted the request: later frames must be of this attempt and from this box. */
  bind(ref: AttemptRef, ownerId: BoxId, endpointId: EndpointId): void;
  /** Handles a frame of the response. Returns false if it belongs to another attempt or is out of order. */
  handleFrame(from: BoxId, frame: StreamFrame): boolean;
  /** Ends the request with a refusal. */
  refuse(refusal: Refusal): void;
}

/** One caller's request and its response. */
export class Exchange implements ResponseSink {
  private binding: Binding | undefined;
  private contentLength: number | undefined;
  private forwardedBytes = 0;
  private isEventStream = false;
  private hasHead = false;
  private isFinished = false;

  constructor(private readonly options: ExchangeOptions) {
    options.res.on('close', () => this.handleClosed());
  }

  /** The request id that the response contains. */
  get echoedId(): string {
    return this.options.echoedId;
  }

  bind(ref: AttemptRef, ownerId: BoxId, endpointId: EndpointId): void {
    const send = (frame: StreamFrame): void => this.options.send(ownerId, frame);
    const response = new StreamReceiver(ref, 'answer', send);
    this.binding = { ref, ownerId, endpointId, response, body: new StreamSender(ref, 'request', send) };
    if (this.options.head.streamsBody) this.streamBody(this.binding.body);
  }

  handleFrame(from: BoxId, frame: StreamFrame): boolean {
    const { binding } = this;
    if (binding === undefined || this.isFinished) return false;
    if (from !== binding.ownerId || frame.attempt !== binding.ref.attempt) return false;
    switch (frame.type) {
      case 'answerHead':
        return this.startResponse(binding, frame);
      case 'data':
        return this.forwardData(binding, frame);
      case 'end':
        return this.finish(binding, frame);
      case 'credit':
        if (binding.body.addCredit(frame.bytes)) this.options.req.resume();
        return true;
    }
  }

  /**
   * Sends the final refusal to the caller. If part of the response was already forwarded, an event stream ends with an error
   * event and any other response is cut off, so that it cannot be taken for complete.
   */
  refuse(refusal: Refusal): void {
    if (this.isFinished) return;
    this.isFinished = true;
    const { res, req, echoedId } = this.options;
    if (!res.headersSent && !this.hasHead) return sendProblem(res, refusal, echoedId, !req.complete);
    if (!this.isEventStream) return void res.destroy();
    const body = JSON.stringify(createProblemBody(refusal, echoedId));
    res.end(`event: error\ndata: ${body}\n\n`);
  }

  private streamBody(sender: StreamSender): void {
    const { req, requestId, emit } = this.options;
    emit({ type: 'bodyTaken', requestId });
    req.on('data', (chunk: Buffer) => {
      if (!sender.write(chunk)) req.pause();
    });
    req.on('end', () => sender.end());
  }

  private startResponse(binding: Binding, frame: AnswerHeadFrame): boolean {
    const { res, echoedId, emit } = this.options;
    if (this.hasHead) return false;
    const length = readHeader(frame.headers, 'content-length');
    this.contentLength = length === undefined ? undefined : Number(length);
    this.isEventStream = readHeader(frame.headers, 'content-type')?.startsWith('text/event-stream') === true;
    res.statusCode = frame.status;
    for (const [name, value] of frame.headers) res.appendHeader(name, value);
    res.setHeader('x-request-id', echoedId);
    res.setHeader('hazelwalk-endpoint', binding.endpointId);
    // Headers are sent with the first data if it arrives in the same turn of the event loop, otherwise without waiting for it.
    setImmediate(() => {
      if (!res.headersSent) res.flushHeaders();
    });
    this.hasHead = true;
    emit({ type: 'answerStarted', ...binding.ref });
    return true;
  }

  private forwardData(binding: Binding, frame: DataFrame): boolean {
    const { res } = this.options;
    if (!this.hasHead || !binding.response.acceptPiece(frame.seq)) return false;
    this.forwardedBytes += frame.bytes.length;
    if (this.contentLength !== undefined && this.forwardedBytes > this.contentLength) {
      this.reportBroken('answerTooLong');
      return true;
    }
    if (res.write(frame.bytes)) binding.response.returnCredit(frame.bytes.length);
    else res.once('drain', () => binding.response.returnCredit(frame.bytes.length));
    return true;
  }

  private finish(binding: Binding, frame: EndFrame): boolean {
    const hasExpectedLength =
      this.options.head.method === 'HEAD' || this.forwardedBytes === this.contentLength;
    const isTooShort = this.contentLength !== undefined && !hasExpectedLength;
    if (!binding.response.isComplete(frame.count) || isTooShort) {
      this.reportBroken('answerTooShort');
      return true;
    }
    this.isFinished = true;
    this.options.res.end();
    this.options.emit({ type: 'answerEnded', ...binding.ref });
    return true;
  }

  /** Reports to the core that a response is longer or shorter than announced; the caller must not take it for complete. */
  private reportBroken(code: ResultCode): void {
    const { requestId, emit } = this.options;
    emit({ type: 'answerBroken', requestId, code });
  }

  private handleClosed(): void {
    if (this.isFinished) return;
    this.isFinished = true;
    this.options.emit({ type: 'callerGone', requestId: this.options.requestId });
  }
}
