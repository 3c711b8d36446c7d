/** Placement of a box of the hall `a` for tests: nothing is hot, emptied or cold unless a test says so. */
import type { Hasher } from '@hazelwalk/core';
import { Evacuations } from '../systems/evacuations.js';
import type { PlacementOptions, PlacementRequest } from '../systems/placement.js';
import { Placement } from '../systems/placement.js';
import { PromptDemand } from '../systems/promptDemand.js';
import { PromptHolders } from '../systems/promptHolders.js';
import type { EndpointTable } from '../tables/endpointTable.js';
import { createColdEndpoints } from './createEndpoints.js';

export function createPlacement(
  hasher: Hasher,
  table: EndpointTable,
  changes: Partial<PlacementOptions> = {},
): Placement {
  return new Placement({
    table,
    hasher,
    hall: 'a',
    random: () => 0.5,
    promptHolders: new PromptHolders(),
    demand: new PromptDemand(),
    evacuations: new Evacuations(),
    cold: createColdEndpoints(hasher),
    findRegion: () => undefined,
    readLoadPath: () => 'direct',
    readLoadAgeMs: () => 300,
    ...changes,
  });
}

/** A request of a generation that shares a prompt with others. */
export function askFor(prompt: string): PlacementRequest {
  return {
    service: 'llm',
    promptParts: [
      { id: prompt, tokens: 900 },
      { id: 'own', tokens: 10 },
    ],
    excluded: new Set(),
  };
}
