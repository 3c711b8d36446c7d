/** What a request is blamed by when its endpoint crashes: itself, and the parts of its prompt that it shares with others. */
import type { PromptPart } from '../records.js';
import { digestNames } from './requestFingerprint.js';

/** A request by its fingerprints. */
export interface BlamedRequest {
  /** Identifies its caller. */
  readonly caller: string;
  /** Fingerprint of the whole request, then those of the shared parts of its prompt. */
  readonly fingerprints: readonly string[];
}

/**
 * Computes the fingerprint of one part of a prompt. It is the same for all callers, since equal ids mean equal texts.
 *
 * @example fingerprintPart('llm', '5c1e07a2') // the same at every box
 */
export function fingerprintPart(service: string, partId: string): string {
  return digestNames(['part', service, partId]);
}

/**
 * Identifies a caller without disclosing an API key.
 *
 * @example fingerprintCaller('team-1')
 */
export function fingerprintCaller(caller: string): string {
  return digestNames(['caller', caller]);
}

/**
 * The parts of a prompt that may be to blame: all but the last, which belongs to the request or its session alone.
 *
 * @example listSharedParts([{ id: 'a', tokens: 9 }, { id: 'b', tokens: 2 }]) // [{ id: 'a', tokens: 9 }]
 */
export function listSharedParts(parts: readonly PromptPart[]): readonly PromptPart[] {
  return parts.slice(0, -1);
}
