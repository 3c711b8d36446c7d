/** Collects the body of a request, so that it can be sent again. */
import type { IncomingMessage } from 'node:http';

/** What becomes of a body. */
export interface RequestBodyHandlers {
  /** Largest body that is accepted, in bytes; asked with each chunk, since the configuration may change meanwhile. */
  readonly readLimit: () => number;
  readonly onTooLarge: () => void;
  /** The whole body; undefined if there is none. */
  readonly onWhole: (body: Buffer | undefined) => void;
}

/** Reads a request to its end. */
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
    if (!isTooLarge) handlers.onWhole(chunks.length === 0 ? undefined : Buffer.concat(chunks));
  });
}
