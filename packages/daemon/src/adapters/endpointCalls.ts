/**
 * Calls of this box to the endpoints that it owns: streams the request body to the endpoint and the response back to the
 * entry box.
 *
 * A call that may not be repeated uses a connection of its own, so that a failure to connect proves that nothing was sent.
 */
import { PassThrough } from 'node:stream';
import type {
  AttemptRef,
  BoxId,
  CallOutcome,
  DispatchEffect,
  ResultCode,
  StreamFrame,
} from '@hazelwalk/core';
import { attemptKey, isFinalStatus, isInformational } from '@hazelwalk/core';
import type { Dispatcher } from 'undici';
import { Agent, errors } from 'undici';
import type { EmitEvent } from '../coreLoop.js';
import { flattenHeaders, HEADER } from './headers.js';
import { StreamReceiver, StreamSender } from './streams.js';

const CONNECT_TIMEOUT_MS = 1_000;
const KEEP_ALIVE_MS = 4_000;
/** Last line of a complete event stream of the chat-completions API. */
const CHAT_END = Buffer.from('data: [DONE]');
/** Number of bytes at the end of an event stream that are searched for its last line. */
const TAIL_BYTES = 64;

/** Callbacks of the daemon that the calls use. */
export interface EndpointCallsOptions {
  readonly emit: EmitEvent;
  readonly send: (to: BoxId, frame: StreamFrame) => void;
  /** Whether calls of the service may share connections. */
  readonly mayShareConnection: (service: string) => boolean;
}

/** The running calls of this box to endpoints. */
export class EndpointCalls {
  private readonly calls = new Map<string, EndpointCall>();
  private readonly shared = new Agent({
    pipelining: 1,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    keepAliveTimeout: KEEP_ALIVE_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  private readonly unshared = new Agent({
    pipelining: 0,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  constructor(private readonly options: EndpointCallsOptions) {}

  /** Starts a call to an endpoint. */
  dispatch(effect: DispatchEffect): void {
    const key = attemptKey(effect);
    const agent = this.options.mayShareConnection(effect.head.service) ? this.shared : this.unshared;
    const call = new EndpointCall(effect, this.options, () => this.calls.delete(key));
    this.calls.set(key, call);
    call.start(agent);
  }

  /** Cancels a call. */
  cancel(ref: AttemptRef): void {
    this.calls.get(attemptKey(ref))?.cancel();
  }

  /** Handles a frame with request body or credit. Returns false if no call of that attempt is running. */
  handleFrame(frame: StreamFrame): boolean {
    return this.calls.get(attemptKey(frame))?.handleFrame(frame) ?? false;
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await Promise.all([this.shared.destroy(), this.unshared.destroy()]);
  }
}

/** One call to an endpoint. */
class EndpointCall implements Dispatcher.DispatchHandler {
  private readonly response: StreamSender;
  private readonly bodyReceiver: StreamReceiver;
  private readonly body: PassThrough | undefined;
  private readonly deadline: NodeJS.Timeout;
  private controller: Dispatcher.DispatchController | undefined;
  private isFinished = false;
  private isChatStream = false;
  private tail: Buffer = Buffer.alloc(0);
  private status = 0;
  private pendingChunks: Buffer[] = [];

  constructor(
    private readonly effect: DispatchEffect,
    private readonly options: EndpointCallsOptions,
    private readonly onFinished: () => void,
  ) {
    const send = (frame: StreamFrame): void => options.send(effect.entry, frame);
    this.response = new StreamSender(effect, 'answer', send);
    this.bodyReceiver = new StreamReceiver(effect, 'request', send);
    this.body = effect.head.streamsBody ? new PassThrough() : undefined;
    // The stream may fail after the call has finished, when its outcome no longer matters.
    this.body?.on('error', () => {});
    this.deadline = setTimeout(() => this.abort('deadlineExceeded'), effect.remainingMs);
  }

  start(agent: Agent): void {
    const { head, address, remainingMs } = this.effect;
    const headers = head.headers.filter(([name]) => name !== HEADER.deadlineMs).flat();
    agent.dispatch(
      {
        origin: `http://${address}`,
        path: head.path,
        method: head.method as Dispatcher.HttpMethod,
        headers: [...headers, HEADER.deadlineMs, String(Math.max(1, Math.round(remainingMs)))],
        body: this.body ?? head.body ?? null,
      },
      this,
    );
  }

  handleFrame(frame: StreamFrame): boolean {
    switch (frame.type) {
      case 'data':
        return this.handleBodyData(frame.seq, frame.bytes);
      case 'end':
        if (!this.bodyReceiver.isComplete(frame.count)) return false;
        this.body?.end();
        return true;
      case 'credit':
        if (this.response.addCredit(frame.bytes)) this.controller?.resume();
        return true;
      case 'answerHead':
        return false;
    }
  }

  cancel(): void {
    this.finish({ type: 'cancelled' });
    this.controller?.abort(new Error('cancelled'));
    this.body?.destroy();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.isFinished) controller.abort(new Error('the call has already finished'));
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    if (this.isFinished || isInformational(status)) return;
    if (!isFinalStatus(status)) return this.abort('endpointBroke');
    const { requestId, attempt, entry } = this.effect;
    this.status = status;
    this.isChatStream = String(headers['content-type'] ?? '').startsWith('text/event-stream');
    const pairs = flattenHeaders(headers);
    this.options.send(entry, { type: 'answerHead', requestId, attempt, status, headers: pairs });
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.isFinished) return;
    if (this.isChatStream) this.updateTail(chunk);
    this.pendingChunks.push(chunk);
    if (this.pendingChunks.length === 1) queueMicrotask(() => this.flush(controller));
  }

  /** Sends all chunks of one read in a single frame, as each frame costs work at two more boxes. */
  private flush(controller?: Dispatcher.DispatchController): void {
    const { pendingChunks } = this;
    if (pendingChunks.length === 0) return;
    this.pendingChunks = [];
    const [first] = pendingChunks;
    const bytes = pendingChunks.length === 1 && first !== undefined ? first : Buffer.concat(pendingChunks);
    if (!this.response.write(bytes)) controller?.pause();
  }

  onResponseEnd(): void {
    if (this.isFinished) return;
    this.flush();
    const isTruncated =
      this.isChatStream && this.effect.head.kind === 'model' && !this.tail.includes(CHAT_END);
    if (isTruncated) return this.finish({ type: 'broken', code: 'answerTooShort' });
    this.response.end();
    this.finish({ type: 'whole', status: this.status });
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.body?.destroy();
    this.finish(this.classifyError(error));
  }

  /** Only a failed connection attempt proves that nothing was sent. */
  private classifyError(error: Error): CallOutcome {
    if (this.controller === undefined) return { type: 'notSent' };
    const isLengthMismatch = error instanceof errors.ResponseContentLengthMismatchError;
    return { type: 'broken', code: isLengthMismatch ? 'answerTooShort' : 'endpointBroke' };
  }

  private handleBodyData(seq: number, bytes: Uint8Array): boolean {
    const { body } = this;
    if (body === undefined || !this.bodyReceiver.acceptPiece(seq)) return false;
    if (body.write(bytes)) this.bodyReceiver.returnCredit(bytes.length);
    else body.once('drain', () => this.bodyReceiver.returnCredit(bytes.length));
    return true;
  }

  private updateTail(chunk: Buffer): void {
    const end = chunk.subarray(-TAIL_BYTES);
    this.tail = Buffer.concat([this.tail, end]).subarray(-TAIL_BYTES);
  }

  private abort(code: ResultCode): void {
    this.finish(this.controller === undefined ? { type: 'notSent' } : { type: 'broken', code });
    this.controller?.abort(new Error(code));
  }

  private finish(outcome: CallOutcome): void {
    if (this.isFinished) return;
    this.isFinished = true;
    clearTimeout(this.deadline);
    this.onFinished();
    const { requestId, attempt } = this.effect;
    this.options.emit({ type: 'callEnded', requestId, attempt, outcome });
  }
}
