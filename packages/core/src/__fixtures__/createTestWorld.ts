/** Creates worlds for tests: a few boxes and endpoints, a fixed random number and time passed in by the test. */
import type { CoreSettings, Declaration, EndpointRecord, World } from '../index.js';
import { createHasher, createWorld, DEFAULT_CORE_SETTINGS, Ok, runTurn } from '../index.js';
import type { BoxList, EndpointList } from '../index.js';

/** Overrides of the defaults. */
export interface TestWorldOptions {
  readonly boxIds?: readonly string[];
  readonly endpoints?: readonly EndpointRecord[];
  readonly settings?: Partial<CoreSettings>;
  readonly declaration?: Partial<Declaration>;
}

/** A declared file with a model, a repeatable and an unrepeatable service. */
export const TEST_DECLARATION: Declaration = {
  revision: 1,
  deployment: 'test',
  halls: ['mixco'],
  teams: [
    { name: 'quiet', weight: 1 },
    { name: 'surging', weight: 1 },
  ],
  services: [
    {
      kind: 'model',
      name: 'assistant',
      loadBound: 1.15,
      maxInFlightPerEndpoint: 100,
      maxQueueMs: 500,
      defaultDeadlineMs: 60_000,
    },
    {
      kind: 'plain',
      name: 'booking',
      repeat: 'never',
      maxInFlightPerEndpoint: 10,
      maxQueueMs: 500,
      defaultDeadlineMs: 10_000,
    },
    {
      kind: 'plain',
      name: 'tracking',
      repeat: 'safe',
      maxInFlightPerEndpoint: 10,
      maxQueueMs: 500,
      defaultDeadlineMs: 10_000,
    },
  ],
};

/** Creates records of engines in one hall. */
export function createEngines(count: number, hall = 'mixco'): EndpointRecord[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `engine-${index + 1}`,
    hall,
    address: `127.0.0.1:${9_000 + index}`,
    serves: ['assistant', 'booking', 'tracking'],
    state: 'live' as const,
  }));
}

/** Creates a ready world at time 0. Its published texts are JSON and are not validated. */
export async function createTestWorld(selfId: string, options: TestWorldOptions = {}): Promise<World> {
  const parsers = {
    declared: (text: string) => Ok(JSON.parse(text) as Declaration),
    boxes: (text: string) => Ok(JSON.parse(text) as BoxList),
    endpoints: (text: string) => Ok(JSON.parse(text) as EndpointList),
  };
  const deps = { hasher: await createHasher(), random: () => 0.5, parsers };
  const settings = { ...DEFAULT_CORE_SETTINGS, ...options.settings };
  const world = createWorld({ boxId: selfId, hall: 'mixco', incarnation: 'k1' }, settings, deps, 0);
  const boxes = (options.boxIds ?? [selfId]).map((id) => ({
    id,
    hall: 'mixco',
    peerAddress: `127.0.0.1:${id}`,
    state: 'live',
  }));
  const endpoints = options.endpoints ?? createEngines(2);
  const declaration = { ...TEST_DECLARATION, ...options.declaration };
  runTurn(
    world,
    [
      { type: 'valueRead', name: 'declared', text: JSON.stringify(declaration) },
      { type: 'valueRead', name: 'boxes', text: JSON.stringify({ version: 1, boxes }) },
      { type: 'valueRead', name: 'endpoints', text: JSON.stringify({ version: 1, endpoints }) },
    ],
    0,
  );
  return world;
}
