/** Buffers the body of a request, so that the request can be sent again. */
import type { IncomingMessage } from 'node:http';
import { ChunkQueue } from '@hazelwalk/core';

/** Size limit and callbacks for reading a body. */
export interface RequestBodyHandlers {
  /** Largest accepted body in bytes; called for each chunk, because the configuration may change in between. */
  readonly readLimit: () => number;
  readonly onTooLarge: () => void;
  /** Called with the whole body; undefined if there is none. */
  readonly onComplete: (body: Buffer | undefined) => void;
}

/** Reads a request to its end, also after its body has become too large. */
export function readRequestBody(req: IncomingMessage, handlers: RequestBodyHandlers): void {
  const received = new ChunkQueue();
  let isTooLarge = false;
  req.on('data', (chunk: Buffer) => {
    if (isTooLarge) return;
    isTooLarge = received.bytes + chunk.length > handlers.readLimit();
    if (!isTooLarge) return received.push(chunk);
    received.clear();
    handlers.onTooLarge();
  });
  req.on('end', () => {
    if (!isTooLarge) handlers.onComplete(received.bytes === 0 ? undefined : received.takeAll());
  });
}
