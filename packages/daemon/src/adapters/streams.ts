/**
 * Flow control of the bodies that travel between boxes: a window of bytes, refilled by credit as they are passed on.
 */
import type { AttemptRef, StreamFrame, StreamSide } from '@hazelwalk/core';

/** Bytes that may be on their way on one stream. */
export const WINDOW_BYTES = 256 * 1024;
/** Credit is returned once this much was passed on. */
const CREDIT_STEP_BYTES = WINDOW_BYTES / 4;

/** Sends a stream frame to the other end. */
export type SendStreamFrame = (frame: StreamFrame) => void;

/** The sending end of a body: numbers its pieces and says when to pause. */
export class StreamSender {
  private nextSeq = 0;
  private inWindowBytes = 0;

  constructor(
    private readonly ref: AttemptRef,
    private readonly side: StreamSide,
    private readonly send: SendStreamFrame,
  ) {}

  /** Sends a piece. Returns false when the source must pause until `addCredit` returns true. */
  write(bytes: Uint8Array): boolean {
    const { requestId, attempt } = this.ref;
    this.send({ type: 'data', requestId, attempt, side: this.side, seq: this.nextSeq, bytes });
    this.nextSeq += 1;
    this.inWindowBytes += bytes.length;
    return this.inWindowBytes < WINDOW_BYTES;
  }

  /** Marks the body as whole. */
  end(): void {
    const { requestId, attempt } = this.ref;
    this.send({ type: 'end', requestId, attempt, side: this.side, count: this.nextSeq });
  }

  /** Notes bytes that were passed on. Returns whether the source may go on. */
  addCredit(bytes: number): boolean {
    this.inWindowBytes -= bytes;
    return this.inWindowBytes < WINDOW_BYTES;
  }
}

/** The receiving end of a body: checks that no piece is missing and returns credit. */
export class StreamReceiver {
  private nextSeq = 0;
  private owedBytes = 0;

  constructor(
    private readonly ref: AttemptRef,
    private readonly side: StreamSide,
    private readonly send: SendStreamFrame,
  ) {}

  /** Whether this is the next piece; any other is late, doubled or follows a gap. */
  acceptPiece(seq: number): boolean {
    if (seq !== this.nextSeq) return false;
    this.nextSeq += 1;
    return true;
  }

  /** Whether a body of so many pieces has arrived whole. */
  isComplete(count: number): boolean {
    return count === this.nextSeq;
  }

  /** Notes bytes passed on, and returns credit when enough has gathered. */
  returnCredit(bytes: number): void {
    this.owedBytes += bytes;
    if (this.owedBytes < CREDIT_STEP_BYTES) return;
    const { requestId, attempt } = this.ref;
    this.send({ type: 'credit', requestId, attempt, side: this.side, bytes: this.owedBytes });
    this.owedBytes = 0;
  }
}
