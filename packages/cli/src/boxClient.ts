/** Sends requests to the admin servers of boxes. */
import { Err, Ok } from '@hazelwalk/core';
import type { Problem, Result } from '@hazelwalk/core';
import { request } from 'undici';

const TIMEOUT_MS = 3_000;
const HTTP_OK = 200;

/** The fields of a box's status that the tool shows, as the admin server names them. */
export interface BoxStatus {
  readonly boxId: string;
  readonly hall: string;
  readonly ready: boolean;
  readonly stopping: boolean;
  readonly revision: number;
  readonly refusedRevisionProblems: readonly string[];
  readonly platform: string;
  readonly liveBoxes: readonly string[];
  readonly endpoints: readonly {
    readonly id: string;
    /** Id of the box that owns the endpoint. */
    readonly steward: string | null;
    readonly load: number;
    readonly waiting: number;
    readonly state: string;
  }[];
  readonly requestsInFlight: number;
  readonly counters: Readonly<Record<string, number>>;
}

async function call<T>(address: string, method: 'GET' | 'POST', path: string): Promise<Result<T, Problem>> {
  try {
    const response = await request(`http://${address}${path}`, {
      method,
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    const value = (await response.body.json()) as T;
    if (response.statusCode === HTTP_OK) return Ok(value);
    return Err({
      code: 'boxUnreachable',
      at: address,
      detail: `answered with status ${response.statusCode}`,
    });
  } catch (error) {
    return Err({ code: 'boxUnreachable', at: address, detail: (error as Error).message });
  }
}

/** Reads the status of a box. */
export function readBoxStatus(address: string): Promise<Result<BoxStatus, Problem>> {
  return call(address, 'GET', '/v1/status');
}

/** Reads the text of the declared file that is in force at a box; empty if there is none. */
export function readDeclaredFile(address: string): Promise<Result<{ text: string }, Problem>> {
  return call(address, 'GET', '/v1/declared');
}

/** Reads how a box would place a chat, and why. */
export function readExplanation(
  address: string,
  model: string,
  chat: string,
): Promise<Result<unknown, Problem>> {
  return call(address, 'GET', `/v1/explain?${new URLSearchParams({ model, chat })}`);
}

/** Starts a planned stop of a box. */
export function requestDrain(address: string): Promise<Result<unknown, Problem>> {
  return call(address, 'POST', '/v1/drain');
}
