/**
 * Credit-based flow control of bodies that are streamed between boxes: a sender may have a window of bytes in flight, and the
 * receiver returns credit for the bytes that it has forwarded.
 */
import type { AttemptRef, StreamFrame, StreamSide } from '@hazelwalk/core';

/** Bytes that may be in flight on one stream. */
export const WINDOW_BYTES = 256 * 1024;
/** Credit is returned each time this many bytes have been forwarded. */
const CREDIT_STEP_BYTES = WINDOW_BYTES / 4;

/** Sends a stream frame to the other end of the stream. */
export type SendStreamFrame = (frame: StreamFrame) => void;

/** The sending end of a body: numbers its data frames and reports when the source must pause. */
export class StreamSender {
  private nextSeq = 0;
  private unacknowledgedBytes = 0;

  constructor(
    private readonly ref: AttemptRef,
    private readonly side: StreamSide,
    private readonly send: SendStreamFrame,
  ) {}

  /** Sends one data frame. Returns false if the source must pause until `addCredit` returns true. */
  write(bytes: Uint8Array): boolean {
    const { requestId, attempt } = this.ref;
    this.send({ type: 'data', requestId, attempt, side: this.side, seq: this.nextSeq, bytes });
    this.nextSeq += 1;
    this.unacknowledgedBytes += bytes.length;
    return this.unacknowledgedBytes < WINDOW_BYTES;
  }

  /** Marks the body as complete. */
  end(): void {
    const { requestId, attempt } = this.ref;
    this.send({ type: 'end', requestId, attempt, side: this.side, count: this.nextSeq });
  }

  /** Adds credit for forwarded bytes. Returns whether the source may resume. */
  addCredit(bytes: number): boolean {
    this.unacknowledgedBytes -= bytes;
    return this.unacknowledgedBytes < WINDOW_BYTES;
  }
}

/** The receiving end of a body: checks that no data frame is missing and returns credit. */
export class StreamReceiver {
  private nextSeq = 0;
  private unreturnedBytes = 0;

  constructor(
    private readonly ref: AttemptRef,
    private readonly side: StreamSide,
    private readonly send: SendStreamFrame,
  ) {}

  /** Accepts the next data frame. Returns false for any other frame: it is late, a duplicate or follows a gap. */
  acceptPiece(seq: number): boolean {
    if (seq !== this.nextSeq) return false;
    this.nextSeq += 1;
    return true;
  }

  /** Whether all of the `count` data frames of the body have arrived. */
  isComplete(count: number): boolean {
    return count === this.nextSeq;
  }

  /** Records forwarded bytes and returns credit for them once they reach a step. */
  returnCredit(bytes: number): void {
    this.unreturnedBytes += bytes;
    if (this.unreturnedBytes < CREDIT_STEP_BYTES) return;
    const { requestId, attempt } = this.ref;
    this.send({ type: 'credit', requestId, attempt, side: this.side, bytes: this.unreturnedBytes });
    this.unreturnedBytes = 0;
  }
}
