/** Buffers the body of a request, so that the request can be sent again. */
import type { IncomingMessage } from 'node:http';

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
  const chunks: Buffer[] = [];
  let bytes = 0;
  let isTooLarge = false;
  req.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (isTooLarge) return;
    isTooLarge = bytes > handlers.readLimit();
    if (isTooLarge) handlers.onTooLarge();
    else chunks.push(chunk);
  });
  req.on('end', () => {
    if (!isTooLarge) handlers.onComplete(chunks.length === 0 ? undefined : Buffer.concat(chunks));
  });
}
