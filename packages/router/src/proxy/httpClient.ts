/**
 * The HTTP client of undici, without the rest of the library: loading all of it costs a box about a third of its
 * start-up time (0.31 s of processor time before, see docs/MEASUREMENTS.md).
 */
import UndiciClient from 'undici/lib/dispatcher/client.js';
import type { Client as ClientType } from 'undici';

/** A client that holds one connection. */
export const Client = UndiciClient as unknown as typeof ClientType;
/** A client that holds one connection. */
export type Client = ClientType;
