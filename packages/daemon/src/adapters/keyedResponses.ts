/**
 * Answers of calls that this box carries as the owner of their keys: held whole, and given to everyone who asks.
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

/** Largest answer that is held; it fits a stream's window, so that it is sent without waiting for credit. */
const MAX_HELD_BYTES = 192 * 1024;

/** What held answers need from the daemon. */
export interface KeyedResponsesOptions {
  readonly emit: EmitEvent;
  readonly send: (to: BoxId, frame: StreamFrame) => void;
  /** Where frames of answers are routed by request. */
  readonly sinks: Map<RequestId, ResponseSink>;
}

/** All held answers. */
export class KeyedResponses {
  private readonly answers = new Map<RequestId, KeyedAnswer>();

  constructor(private readonly options: KeyedResponsesOptions) {}

  /** Begins to hold the answer of a request. */
  open(requestId: RequestId): void {
    const answer = new KeyedAnswer(requestId, this.options);
    this.answers.set(requestId, answer);
    this.options.sinks.set(requestId, answer);
  }

  /** Sends a held answer to an asker. */
  deliver(requestId: RequestId, asker: KeyRequester): void {
    this.answers.get(requestId)?.deliver(asker);
  }

  /** Drops an answer. */
  discard(requestId: RequestId): void {
    this.answers.delete(requestId);
    this.options.sinks.delete(requestId);
  }
}

/** One held answer. */
class KeyedAnswer implements ResponseSink {
  private ref: AttemptRef | undefined;
  private steward: BoxId = '';
  private receiver: StreamReceiver | undefined;
  private head: AnswerHeadFrame | undefined;
  private pieces: Uint8Array[] = [];
  private heldBytes = 0;

  constructor(
    private readonly requestId: RequestId,
    private readonly options: KeyedResponsesOptions,
  ) {}

  bind(ref: AttemptRef, steward: BoxId, _endpointId: EndpointId): void {
    this.ref = ref;
    this.steward = steward;
    this.receiver = new StreamReceiver(ref, 'answer', (frame) => this.options.send(steward, frame));
    this.pieces = [];
    this.heldBytes = 0;
  }

  handleFrame(from: BoxId, frame: StreamFrame): boolean {
    const { ref, receiver } = this;
    if (ref === undefined || receiver === undefined) return false;
    if (from !== this.steward || frame.attempt !== ref.attempt) return false;
    switch (frame.type) {
      case 'answerHead':
        this.head = frame;
        return true;
      case 'data':
        return this.hold(receiver, frame.seq, frame.bytes);
      case 'end':
        return this.finish(ref, receiver, frame.count);
      case 'credit':
        return false;
    }
  }

  refuse(): void {
    this.options.sinks.delete(this.requestId);
  }

  deliver(asker: KeyRequester): void {
    const { requestId, attempt, entry } = asker;
    if (this.head === undefined) return;
    const { status, headers } = this.head;
    const bytes = Buffer.concat(this.pieces);
    this.options.send(entry, { type: 'answerHead', requestId, attempt, status, headers });
    this.options.send(entry, { type: 'data', requestId, attempt, side: 'answer', seq: 0, bytes });
    this.options.send(entry, { type: 'end', requestId, attempt, side: 'answer', count: 1 });
  }

  private hold(receiver: StreamReceiver, seq: number, bytes: Uint8Array): boolean {
    if (!receiver.acceptPiece(seq)) return false;
    this.heldBytes += bytes.length;
    if (this.heldBytes > MAX_HELD_BYTES) {
      this.options.emit({ type: 'answerBroken', requestId: this.requestId, code: 'answerTooLarge' });
      return true;
    }
    this.pieces.push(Buffer.from(bytes));
    receiver.returnCredit(bytes.length);
    return true;
  }

  private finish(ref: AttemptRef, receiver: StreamReceiver, count: number): boolean {
    const announced = readHeader(this.head?.headers ?? [], 'content-length');
    const isShort = announced !== undefined && Number(announced) !== this.heldBytes;
    if (!receiver.isComplete(count) || isShort) {
      this.options.emit({ type: 'answerBroken', requestId: this.requestId, code: 'answerTooShort' });
      return true;
    }
    this.options.emit({ type: 'answerEnded', ...ref });
    return true;
  }
}
