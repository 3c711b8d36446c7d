/**
 * Responses of calls that this box runs as the owner of their idempotency keys: each is held completely and sent to every
 * requester of its key.
 */
import type {
  AnswerHeadFrame,
  AttemptRef,
  BoxId,
  EndpointId,
  KeyRequester,
  RequestId,
  StreamFrame,
} from '@hazelwalk/core';
import type { EmitEvent } from '../coreLoop.js';
import type { ResponseSink } from './exchange.js';
import { readHeader } from './headers.js';
import { StreamReceiver } from './streams.js';

/** Largest response that is held. It is smaller than a stream's window, so that it is sent without waiting for credit. */
const MAX_HELD_BYTES = 192 * 1024;

/** Callbacks of the daemon that held responses use. */
export interface KeyedResponsesOptions {
  readonly emit: EmitEvent;
  readonly send: (to: BoxId, frame: StreamFrame) => void;
  /** Sinks to which frames of responses are routed, by request id. */
  readonly sinks: Map<RequestId, ResponseSink>;
}

/** The held responses of a box. */
export class KeyedResponses {
  private readonly responses = new Map<RequestId, HeldResponse>();

  constructor(private readonly options: KeyedResponsesOptions) {}

  /** Starts to hold the response of a request. */
  open(requestId: RequestId): void {
    const response = new HeldResponse(requestId, this.options);
    this.responses.set(requestId, response);
    this.options.sinks.set(requestId, response);
  }

  /** Sends a held response to the entry box of a requester. */
  deliver(requestId: RequestId, requester: KeyRequester): void {
    this.responses.get(requestId)?.deliver(requester);
  }

  /** Discards a response. */
  discard(requestId: RequestId): void {
    this.responses.delete(requestId);
    this.options.sinks.delete(requestId);
  }
}

/** One held response. */
class HeldResponse implements ResponseSink {
  private ref: AttemptRef | undefined;
  private ownerId: BoxId = '';
  private receiver: StreamReceiver | undefined;
  private head: AnswerHeadFrame | undefined;
  private chunks: Uint8Array[] = [];
  private heldBytes = 0;

  constructor(
    private readonly requestId: RequestId,
    private readonly options: KeyedResponsesOptions,
  ) {}

  bind(ref: AttemptRef, ownerId: BoxId, _endpointId: EndpointId): void {
    this.ref = ref;
    this.ownerId = ownerId;
    this.receiver = new StreamReceiver(ref, 'answer', (frame) => this.options.send(ownerId, frame));
    this.chunks = [];
    this.heldBytes = 0;
  }

  handleFrame(from: BoxId, frame: StreamFrame): boolean {
    const { ref, receiver } = this;
    if (ref === undefined || receiver === undefined) return false;
    if (from !== this.ownerId || frame.attempt !== ref.attempt) return false;
    switch (frame.type) {
      case 'answerHead':
        this.head = frame;
        return true;
      case 'data':
        return this.appendData(receiver, frame.seq, frame.bytes);
      case 'end':
        return this.finish(ref, receiver, frame.count);
      case 'credit':
        return false;
    }
  }

  refuse(): void {
    this.options.sinks.delete(this.requestId);
  }

  deliver(requester: KeyRequester): void {
    const { requestId, attempt, entry } = requester;
    if (this.head === undefined) return;
    const { status, headers } = this.head;
    const bytes = Buffer.concat(this.chunks);
    this.options.send(entry, { type: 'answerHead', requestId, attempt, status, headers });
    this.options.send(entry, { type: 'data', requestId, attempt, side: 'answer', seq: 0, bytes });
    this.options.send(entry, { type: 'end', requestId, attempt, side: 'answer', count: 1 });
  }

  private appendData(receiver: StreamReceiver, seq: number, bytes: Uint8Array): boolean {
    if (!receiver.acceptPiece(seq)) return false;
    this.heldBytes += bytes.length;
    if (this.heldBytes > MAX_HELD_BYTES) {
      this.options.emit({ type: 'answerBroken', requestId: this.requestId, code: 'answerTooLarge' });
      return true;
    }
    this.chunks.push(Buffer.from(bytes));
    receiver.returnCredit(bytes.length);
    return true;
  }

  private finish(ref: AttemptRef, receiver: StreamReceiver, count: number): boolean {
    const contentLength = readHeader(this.head?.headers ?? [], 'content-length');
    const hasWrongLength = contentLength !== undefined && Number(contentLength) !== this.heldBytes;
    if (!receiver.isComplete(count) || hasWrongLength) {
      this.options.emit({ type: 'answerBroken', requestId: this.requestId, code: 'answerTooShort' });
      return true;
    }
    this.options.emit({ type: 'answerEnded', ...ref });
    return true;
  }
}
