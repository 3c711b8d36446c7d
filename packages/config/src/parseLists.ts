/**
 * Validates the platform's box list and endpoint list, which are JSON.
 */
import { Err, Ok } from '@hazelwalk/core';
import type { BoxList, EndpointList, Problem, Result, ValueParsers } from '@hazelwalk/core';
import type { z } from 'zod';
import { boxListSchema, endpointListSchema } from './declarationSchema.js';
import { parseDeclaration } from './parseDeclaration.js';
import { listProblems } from './problems.js';

function parseList<T>(schema: z.ZodType<T>, text: string): Result<T, readonly Problem[]> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return Err([{ code: 'listInvalid', at: '', detail: 'the list is not JSON' }]);
  }
  const parsed = schema.safeParse(value);
  return parsed.success ? Ok(parsed.data) : Err(listProblems('listInvalid', parsed.error));
}

/** Parses and validates a box list. */
export function parseBoxList(text: string): Result<BoxList, readonly Problem[]> {
  return parseList(boxListSchema, text);
}

/** Parses and validates an endpoint list. */
export function parseEndpointList(text: string): Result<EndpointList, readonly Problem[]> {
  return parseList(endpointListSchema, text);
}

/** Parsers of the published values, as injected into the core. */
export const valueParsers: ValueParsers = {
  declared: parseDeclaration,
  boxes: parseBoxList,
  endpoints: parseEndpointList,
};
