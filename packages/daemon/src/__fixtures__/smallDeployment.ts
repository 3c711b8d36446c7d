/** A small deployment of real processes for tests, and functions that send requests to it as callers. */
import type { DeploymentSpec } from '@hazelwalk/standins';
import { DEPLOYMENTS } from '@hazelwalk/standins';

/** Two boxes, two engines and one worker in one hall. */
export const SMALL_DEPLOYMENT: DeploymentSpec = {
  ...DEPLOYMENTS.lavanda,
  halls: ['mixco'],
  boxCount: 2,
  engineCount: 2,
  workerCount: 1,
  engineFlags: ['--tokens', '6', '--tokenMs', '5', '--coldMs', '0'],
};

/** A response as a caller received it. */
export interface CallerResponse {
  readonly status: number;
  readonly text: string;
  readonly headers: Headers;
}

/** The body of a refusal. */
export interface ProblemBody {
  readonly code: number;
  readonly ran: string;
}

/** Sends a chat request. */
export async function sendChat(
  caller: string,
  body: Record<string, unknown> | string = {},
  headers: Record<string, string> = {},
): Promise<CallerResponse> {
  const defaults = { model: 'assistant', stream: true, messages: [{ role: 'user', content: 'hello' }] };
  const response = await fetch(`http://${caller}/v1/chat/completions`, {
    method: 'POST',
    headers: { 'hazelwalk-team': 'hospital', 'content-type': 'application/json', ...headers },
    body: typeof body === 'string' ? body : JSON.stringify({ ...defaults, ...body }),
  });
  return { status: response.status, text: await response.text(), headers: response.headers };
}

/** Calls a plain service. */
export async function callService(
  caller: string,
  path: string,
  init: RequestInit & { headers?: Record<string, string> } = {},
): Promise<CallerResponse> {
  const response = await fetch(`http://${caller}/services/${path}`, {
    method: 'POST',
    ...init,
    headers: { 'hazelwalk-team': 'hospital', ...init.headers },
  });
  return { status: response.status, text: await response.text(), headers: response.headers };
}

/** Parses the body of a refusal. */
export function parseProblem(response: CallerResponse): ProblemBody {
  return JSON.parse(response.text) as ProblemBody;
}
