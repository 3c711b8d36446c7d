/**
 * The HTTP client of undici, without the rest of the library: loading all of it costs a box about a third of its
 * start-up time (0.31 s of processor time before, see docs/MEASUREMENTS.md).
 */
import sendRequest from 'undici/lib/api/api-request.js';
import UndiciClient from 'undici/lib/dispatcher/client.js';
import type { Client as ClientType } from 'undici';

const LoadedClient = UndiciClient as unknown as typeof ClientType;
// The library's own entry point adds this method; the class alone lacks it.
LoadedClient.prototype.request = sendRequest as typeof ClientType.prototype.request;

/** A client that holds one connection. */
export const Client = LoadedClient;
/** A client that holds one connection. */
export type Client = ClientType;
