/**
 * Idempotency keys of calls that may run at most once: tickets issued by a box, and callers' own keys with a timestamp.
 */
import type { BoxId } from './records.js';

/** A key issued by a box; only the incarnation of the box that issued it may run the call. */
export interface TicketKey {
  readonly type: 'ticket';
  readonly boxId: BoxId;
  readonly incarnation: string;
  /** Increases with every ticket of the incarnation. */
  readonly serial: number;
}

/** A caller's own key; its time decides which owner may run the call. */
export interface TimedKey {
  readonly type: 'timed';
  /** Unix time in milliseconds by the caller's clock. */
  readonly timeMs: number;
}

/** A well-formed idempotency key. */
export type IdempotencyKey = TicketKey | TimedKey;

const TICKET_PATTERN = /^ticket\.([a-z0-9-]+)\.([a-z0-9]+)\.([a-z0-9]+)$/;
const UUID_V7_PATTERN = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;
const RADIX = 36;
const HEX = 16;

/**
 * Formats a ticket.
 *
 * @example formatTicket('box-01', 'k3', 7) // 'ticket.box-01.k3.7'
 */
export function formatTicket(boxId: BoxId, incarnation: string, serial: number): string {
  return `ticket.${boxId}.${incarnation}.${serial.toString(RADIX)}`;
}

/**
 * Parses a key; undefined if it is neither a ticket nor a UUID of version 7 (RFC 9562, section 5.7).
 *
 * @example parseIdempotencyKey('ticket.box-01.k3.7')
 * // { type: 'ticket', boxId: 'box-01', incarnation: 'k3', serial: 7 }
 */
export function parseIdempotencyKey(text: string): IdempotencyKey | undefined {
  const [, boxId, incarnation, serial] = TICKET_PATTERN.exec(text) ?? [];
  if (boxId !== undefined && incarnation !== undefined && serial !== undefined) {
    return { type: 'ticket', boxId, incarnation, serial: parseInt(serial, RADIX) };
  }
  const [, high, low] = UUID_V7_PATTERN.exec(text) ?? [];
  if (high === undefined || low === undefined) return undefined;
  return { type: 'timed', timeMs: parseInt(high + low, HEX) };
}
