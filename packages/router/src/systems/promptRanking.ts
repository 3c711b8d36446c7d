/** The order of endpoints that all boxes share for a prompt: rendezvous hashing. */
import type { Hasher } from '@hazelwalk/core';
import type { EndpointRow } from '../tables/endpointTable.js';

/** Ranks endpoints for prompts. */
export class PromptRanking {
  constructor(private readonly hasher: Pick<Hasher, 'h32'>) {}

  /** The first endpoints for a prompt. */
  listFirst(rows: readonly EndpointRow[], prompt: string, count: number): EndpointRow[] {
    return rows
      .map((row) => ({ row, score: this.hasher.h32(prompt, row.tag) }))
      .sort((a, b) => b.score - a.score)
      .slice(0, count)
      .map(({ row }) => row);
  }

  /** The first endpoint for a prompt; undefined if there is none at all. */
  findFirst(rows: readonly EndpointRow[], prompt: string): EndpointRow | undefined {
    let first: EndpointRow | undefined;
    let highest = -Infinity;
    for (const row of rows) {
      const score = this.hasher.h32(prompt, row.tag);
      if (score <= highest) continue;
      first = row;
      highest = score;
    }
    return first;
  }
}
