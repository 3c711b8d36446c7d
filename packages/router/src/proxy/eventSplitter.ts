/**
 * Splits the bytes of an event stream into complete events and tracks their ids, so that a broken stream can be resumed
 * at another endpoint without losing, repeating or splitting an event.
 */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Complete events, and the id of the last one that has an id. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly lastEventId: string | undefined;
}

/** Collects chunks and returns the complete events in them. */
export class EventSplitter {
  private pending: Buffer = Buffer.alloc(0);

  /** Adds a chunk; returns the events that are now complete, if any. */
  push(chunk: Buffer): CompleteEvents | undefined {
    const bytes = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const end = findLastEventEnd(bytes);
    this.pending = bytes.subarray(end);
    if (end === 0) return undefined;
    const complete = bytes.subarray(0, end);
    return { bytes: complete, lastEventId: readLastEventId(complete) };
  }

  /** Drops an incomplete event before the stream is resumed at another endpoint. */
  reset(): void {
    this.pending = Buffer.alloc(0);
  }

  /** Whether the bytes so far end inside an event; blank lines and comments after the last one belong to none. */
  get isInsideEvent(): boolean {
    return EVENT_LINE.test(this.pending.toString('latin1'));
  }

  /** Bytes of the incomplete event at the end. */
  get pendingBytes(): Buffer {
    return this.pending;
  }
}

/** A line of an event: neither blank nor a comment. */
const EVENT_LINE = /^[^:\r\n]/m;

/** Offset after the last blank line; 0 if there is none. */
function findLastEventEnd(bytes: Buffer): number {
  for (let at = bytes.length - 1; at > 0; at -= 1) {
    if (bytes[at] !== LINE_FEED) continue;
    const before = bytes[at - 1];
    if (before === LINE_FEED) return at + 1;
    if (before === CARRIAGE_RETURN && bytes[at - 2] === LINE_FEED) return at + 1;
  }
  return 0;
}

/**
 * Reads the id of the last event that has one.
 *
 * @example readLastEventId(Buffer.from('id: 7\ndata: x\n\n')) // '7'
 */
export function readLastEventId(bytes: Buffer): string | undefined {
  const text = bytes.toString('latin1');
  const at = text.startsWith('id:') && text.lastIndexOf('\nid:') < 0 ? 0 : text.lastIndexOf('\nid:') + 1;
  if (at === 0 && !text.startsWith('id:')) return undefined;
  const end = text.indexOf('\n', at);
  return text.slice(at + 'id:'.length, end < 0 ? undefined : end).trim();
}
