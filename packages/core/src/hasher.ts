/**
 * Rendezvous hashing: all boxes with the same set of nodes compute the same order for a key, without coordination.
 */
import createXxhash from 'xxhash-wasm';

/** A seeded 32-bit hash of a string. */
export interface Hasher {
  h32(input: string, seed?: number): number;
}

/**
 * Loads the hash library.
 *
 * @example const hasher = await createHasher();
 */
export async function createHasher(): Promise<Hasher> {
  const xxhash = await createXxhash();
  return { h32: (input, seed = 0) => xxhash.h32(input, seed) };
}

const seedCache = new Map<string, number>();
const SEED_CACHE_LIMIT = 100_000;

function readNodeSeed(hasher: Hasher, nodeId: string): number {
  const cached = seedCache.get(nodeId);
  if (cached !== undefined) return cached;
  if (seedCache.size >= SEED_CACHE_LIMIT) seedCache.clear();
  const seed = hasher.h32(nodeId);
  seedCache.set(nodeId, seed);
  return seed;
}

/**
 * Returns the nodes in rendezvous order for a key, best first.
 *
 * @example rankByRendezvous(hasher, 'chat-1', ['a', 'b', 'c']) // some fixed order of all three
 */
export function rankByRendezvous(hasher: Hasher, key: string, nodeIds: readonly string[]): string[] {
  const scored = nodeIds.map((id) => ({ id, score: hasher.h32(key, readNodeSeed(hasher, id)) }));
  scored.sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1));
  return scored.map((node) => node.id);
}

/**
 * Returns the first node in rendezvous order, without sorting; undefined if there are no nodes.
 *
 * @example pickByRendezvous(hasher, 'chat-1', []) // undefined
 */
export function pickByRendezvous(
  hasher: Hasher,
  key: string,
  nodeIds: readonly string[],
): string | undefined {
  let best: string | undefined;
  let bestScore = -1;
  for (const id of nodeIds) {
    const score = hasher.h32(key, readNodeSeed(hasher, id));
    if (score > bestScore || (score === bestScore && best !== undefined && id < best)) {
      best = id;
      bestScore = score;
    }
  }
  return best;
}
