/**
 * The schema of all frames between boxes. A frame that does not match it is rejected as a whole.
 */
import type { BoxRecord, Frame } from '@hazelwalk/core';
import { isFinalStatus, RESULT_CODES, VALUE_NAMES } from '@hazelwalk/core';
import type { ResultCode } from '@hazelwalk/core';
import { z } from 'zod';

/** First frame on every link: identity of the sender and its protocol version. */
export interface HelloFrame {
  readonly type: 'hello';
  readonly protocolVersion: number;
  readonly incarnation: string;
  readonly box: BoxRecord;
}

/** Every frame that boxes exchange. */
export type WireFrame = HelloFrame | Frame;

const text = z.string();
const count = z.number().int().nonnegative();
const status = z.number().refine(isFinalStatus);
const bytes = z.instanceof(Uint8Array);
const headers = z.array(z.tuple([text, text]));
const loads = z.array(z.tuple([text, z.number().int()]));
const resultCode = z.enum(Object.keys(RESULT_CODES) as [ResultCode, ...ResultCode[]]);
const side = z.enum(['request', 'answer']);
const attempt = { requestId: text, attempt: count };

const head = z.object({
  kind: z.enum(['model', 'plain']),
  service: text,
  team: text,
  chat: text,
  priority: z.number(),
  remainingMs: z.number(),
  method: text,
  path: text,
  headers,
  key: text.optional(),
  body: bytes.optional(),
  streamsBody: z.boolean(),
});

const box = z.object({ id: text, hall: text, peerAddress: text, state: z.enum(['live', 'leaving']) });

const schema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('hello'), protocolVersion: count, incarnation: text, box }),
  z.object({
    type: z.literal('heartbeat'),
    loads,
    stamps: z.array(z.tuple([count, count])),
    confirmedAtMs: z.array(z.number()),
    stopping: z.boolean(),
    platformOk: z.boolean(),
  }),
  z.object({ type: z.literal('valueRequest'), name: z.enum(VALUE_NAMES) }),
  z.object({ type: z.literal('value'), name: z.enum(VALUE_NAMES), text }),
  z.object({ type: z.literal('place'), ...attempt, entry: text, head }),
  z.object({
    type: z.literal('assign'),
    ...attempt,
    entry: text,
    home: text,
    head,
    candidates: z.array(text),
    hops: count,
    observed: loads,
    passed: z.array(text),
    isLast: z.boolean(),
    reason: resultCode,
  }),
  z.object({ type: z.literal('placed'), service: text, chat: text, endpoint: text }),
  z.object({ type: z.literal('accepted'), ...attempt, endpoint: text, loads }),
  z.object({
    type: z.literal('refused'),
    ...attempt,
    code: resultCode,
    ran: z.enum(['no', 'unknown']),
    retryAfterMs: z.number(),
  }),
  z.object({ type: z.literal('cancel'), ...attempt }),
  z.object({ type: z.literal('directory'), entries: z.array(z.tuple([text, z.array(text)])) }),
  z.object({ type: z.literal('keyed'), ...attempt, entry: text, head }),
  z.object({
    type: z.literal('keys'),
    incarnation: text,
    atMs: z.number(),
    sinceMs: z.number(),
    listVersion: count,
    entries: z.array(z.tuple([text, text, z.enum(['answerGone', 'unknown'])])),
  }),
  z.object({ type: z.literal('answerHead'), ...attempt, status, headers }),
  z.object({ type: z.literal('data'), ...attempt, side, seq: count, bytes }),
  z.object({ type: z.literal('end'), ...attempt, side, count }),
  z.object({ type: z.literal('credit'), ...attempt, side, bytes: count }),
]);

/** Validates a decoded frame; undefined if it does not match the schema. */
export function checkFrame(value: unknown): WireFrame | undefined {
  const parsed = schema.safeParse(value);
  return parsed.success ? (parsed.data as WireFrame) : undefined;
}
