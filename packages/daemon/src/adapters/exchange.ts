/**
 * One caller's request at its entry box: streams the body out to the steward and the answer back to the caller.
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

/** What an exchange needs from the daemon. */
export interface ExchangeOptions {
  readonly requestId: string;
  /** The id that the caller gave, or the box's own; echoed. */
  readonly echoedId: string;
  readonly head: RequestHead;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly emit: EmitEvent;
  readonly send: (to: BoxId, frame: StreamFrame) => void;
}

interface Binding {
  readonly ref: AttemptRef;
  readonly steward: BoxId;
  readonly endpointId: EndpointId;
  readonly answer: StreamReceiver;
  readonly body: StreamSender;
}

/** Whatever takes an answer at the box that a steward sends it to. */
export interface ResponseSink {
  /** A steward took the request: later frames must be of this attempt and from this box. */
  bind(ref: AttemptRef, steward: BoxId, endpointId: EndpointId): void;
  /** Handles a frame of the answer. Returns false if it belongs to another attempt or came out of order. */
  handleFrame(from: BoxId, frame: StreamFrame): boolean;
  /** The request ended in a refusal. */
  refuse(refusal: Refusal): void;
}

/** One caller's request and answer. */
export class Exchange implements ResponseSink {
  private binding: Binding | undefined;
  private announcedBytes: number | undefined;
  private passedBytes = 0;
  private isEventStream = false;
  private isHeadSet = false;
  private isOver = false;

  constructor(private readonly options: ExchangeOptions) {
    options.res.on('close', () => this.handleClosed());
  }

  /** The caller's request id as echoed. */
  get echoedId(): string {
    return this.options.echoedId;
  }

  bind(ref: AttemptRef, steward: BoxId, endpointId: EndpointId): void {
    const send = (frame: StreamFrame): void => this.options.send(steward, frame);
    const answer = new StreamReceiver(ref, 'answer', send);
    this.binding = { ref, steward, endpointId, answer, body: new StreamSender(ref, 'request', send) };
    if (this.options.head.streamsBody) this.streamBody(this.binding.body);
  }

  handleFrame(from: BoxId, frame: StreamFrame): boolean {
    const { binding } = this;
    if (binding === undefined || this.isOver) return false;
    if (from !== binding.steward || frame.attempt !== binding.ref.attempt) return false;
    switch (frame.type) {
      case 'answerHead':
        return this.startAnswer(binding, frame);
      case 'data':
        return this.passOn(binding, frame);
      case 'end':
        return this.finish(binding, frame);
      case 'credit':
        if (binding.body.addCredit(frame.bytes)) this.options.req.resume();
        return true;
    }
  }

  /** Gives the caller the final refusal; once part of an answer was passed on, a typed end that cannot look whole. */
  refuse(refusal: Refusal): void {
    if (this.isOver) return;
    this.isOver = true;
    const { res, req, echoedId } = this.options;
    if (!res.headersSent && !this.isHeadSet) return sendProblem(res, refusal, echoedId, !req.complete);
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

  private startAnswer(binding: Binding, frame: AnswerHeadFrame): boolean {
    const { res, echoedId, emit } = this.options;
    if (this.isHeadSet) return false;
    const length = readHeader(frame.headers, 'content-length');
    this.announcedBytes = length === undefined ? undefined : Number(length);
    this.isEventStream = readHeader(frame.headers, 'content-type')?.startsWith('text/event-stream') === true;
    res.statusCode = frame.status;
    for (const [name, value] of frame.headers) res.appendHeader(name, value);
    res.setHeader('x-request-id', echoedId);
    res.setHeader('hazelwalk-endpoint', binding.endpointId);
    // Headers leave with the first piece if that comes in the same turn; an answer that takes its time shows them now.
    setImmediate(() => {
      if (!res.headersSent) res.flushHeaders();
    });
    this.isHeadSet = true;
    emit({ type: 'answerStarted', ...binding.ref });
    return true;
  }

  private passOn(binding: Binding, frame: DataFrame): boolean {
    const { res } = this.options;
    if (!this.isHeadSet || !binding.answer.acceptPiece(frame.seq)) return false;
    this.passedBytes += frame.bytes.length;
    if (this.announcedBytes !== undefined && this.passedBytes > this.announcedBytes) {
      this.fail('answerTooLong');
      return true;
    }
    if (res.write(frame.bytes)) binding.answer.returnCredit(frame.bytes.length);
    else res.once('drain', () => binding.answer.returnCredit(frame.bytes.length));
    return true;
  }

  private finish(binding: Binding, frame: EndFrame): boolean {
    const isBodyless = this.options.head.method === 'HEAD' || this.passedBytes === this.announcedBytes;
    const isShort = this.announcedBytes !== undefined && !isBodyless;
    if (!binding.answer.isComplete(frame.count) || isShort) {
      this.fail('answerTooShort');
      return true;
    }
    this.isOver = true;
    this.options.res.end();
    this.options.emit({ type: 'answerEnded', ...binding.ref });
    return true;
  }

  /** The answer breaks its own announcement: the caller must not take it for whole. */
  private fail(code: ResultCode): void {
    const { requestId, emit } = this.options;
    emit({ type: 'answerBroken', requestId, code });
  }

  private handleClosed(): void {
    if (this.isOver) return;
    this.isOver = true;
    this.options.emit({ type: 'callerGone', requestId: this.options.requestId });
  }
}
