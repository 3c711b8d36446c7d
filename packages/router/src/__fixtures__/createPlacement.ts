/** Creates placements and placement requests for tests. */
import type { Hasher } from '@hazelwalk/core';
import { Evacuations } from '../published/evacuations.js';
import type { PlacementOptions } from '../systems/placement.js';
import type { PlacementRequest } from '../systems/placementRequest.js';
import { Placement } from '../systems/placement.js';
import { PromptDemand } from '../systems/promptDemand.js';
import { PromptHolders } from '../systems/promptHolders.js';
import type { EndpointTable } from '../tables/endpointTable.js';
import { createColdEndpointLimiter } from './createEndpoints.js';

/** Creates the placement of a box in the hall `a`, by default without hot prompts, evacuations and cold endpoints. */
export function createPlacement(
  hasher: Hasher,
  table: EndpointTable,
  changes: Partial<PlacementOptions> = {},
): Placement {
  return new Placement({
    filterKnown: (_service, rows) => rows,
    table,
    hasher,
    hall: 'a',
    random: () => 0.5,
    promptHolders: new PromptHolders(),
    demand: new PromptDemand(),
    evacuations: new Evacuations(),
    cold: createColdEndpointLimiter(hasher),
    findRegion: () => undefined,
    readLoadPath: () => 'direct',
    readLoadAgeMs: () => 300,
    ...changes,
  });
}

/** Creates a request for a generation that shares a prompt with other requests. */
export function createPromptRequest(prompt: string): PlacementRequest {
  return {
    service: 'llm',
    promptParts: [
      { id: prompt, tokens: 900 },
      { id: 'own', tokens: 10 },
    ],
    excluded: new Set(),
  };
}
