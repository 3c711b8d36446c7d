/**
 * The HTTP client of undici, without the rest of the library. Loading the whole library took about a third of the
 * start-up time of a box, which was 0.31 s of processor time then (see docs/MEASUREMENTS.md).
 */
import sendRequest from 'undici/lib/api/api-request.js';
import UndiciClient from 'undici/lib/dispatcher/client.js';
import type { Client as ClientType } from 'undici';

const LoadedClient = UndiciClient as unknown as typeof ClientType;
// Undici adds this method in its entry point, which is not loaded here.
LoadedClient.prototype.request = sendRequest as typeof ClientType.prototype.request;

/** A client that holds one connection. */
export const Client = LoadedClient;
/** A client that holds one connection. */
export type Client = ClientType;
