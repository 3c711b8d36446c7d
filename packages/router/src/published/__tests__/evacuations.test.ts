import { createHasher } from '@hazelwalk/core';
import type { Hasher } from '@hazelwalk/core';
import { createTable } from '../../__fixtures__/createEndpoints.js';
import { createPromptRequest, createPlacement } from '../../__fixtures__/createPlacement.js';
import { Evacuations } from '../evacuations.js';
import type { Placement } from '../../systems/placement.js';
import type { EndpointRow, EndpointTable } from '../../tables/endpointTable.js';

const NOW_MS = 60_000;
let hasher: Hasher;

beforeAll(async () => {
  hasher = await createHasher();
});

describe('a hall that is evacuated', () => {
  const createTwoHalls = (): { table: EndpointTable; rows: EndpointRow[] } => {
    const { table, rows } = createTable(12);
    rows.forEach((row, at) => table.upsert({ ...row.listing, hall: at < 6 ? 'a' : 'b' }, 0));
    return { table, rows };
  };

  test('gets no requests, and its engines serve their caches to others while the order is recent', () => {
    const { table } = createTwoHalls();
    const evacuations = new Evacuations();
    const placement = createPlacement(hasher, table, { evacuations });
    const prompts = Array.from({ length: 40 }, (_, at) => `p${at}`);
    const choose = (prompt: string, nowMs: number): ReturnType<Placement['choose']> =>
      placement.choose(createPromptRequest(prompt), nowMs);
    const movedPrompts = prompts.filter((prompt) => choose(prompt, NOW_MS)?.row.listing.hall === 'a');
    evacuations.apply({ type: 'ordered', hall: 'a' }, NOW_MS);
    for (const prompt of movedPrompts) {
      const choice = choose(prompt, NOW_MS + 100);
      expect(choice?.row.listing.hall).toBe('b');
      expect(choice?.cacheSource?.listing.hall).toBe('a');
    }
    const laterPlacement = createPlacement(hasher, table, { evacuations });
    for (const prompt of movedPrompts) {
      expect(
        laterPlacement.choose(createPromptRequest(prompt), NOW_MS + 10_000)?.cacheSource?.listing.hall,
      ).not.toBe('a');
    }
  });

  test('serves no caches to others if the age of the order is unknown', () => {
    const { table } = createTwoHalls();
    const evacuations = new Evacuations();
    evacuations.apply({ type: 'snapshot', halls: ['a'] }, NOW_MS);
    const placement = createPlacement(hasher, table, { evacuations });
    for (let prompt = 0; prompt < 40; prompt += 1) {
      const choice = placement.choose(createPromptRequest(`p${prompt}`), NOW_MS + 1);
      expect(choice?.row.listing.hall).toBe('b');
      expect(choice?.cacheSource?.listing.hall).not.toBe('a');
    }
  });

  test('does not raise the load cap of the other halls: the mean includes all endpoints while the others have capacity', () => {
    const { table, rows } = createTwoHalls();
    const evacuations = new Evacuations();
    evacuations.apply({ type: 'ordered', hall: 'a' }, NOW_MS);
    for (const row of rows) row.inFlight = row.listing.hall === 'a' ? 0 : 4;
    rows[6]!.inFlight = 8;
    const placement = createPlacement(hasher, table, { evacuations });
    for (let prompt = 0; prompt < 40; prompt += 1) {
      expect(placement.choose(createPromptRequest(`p${prompt}`), NOW_MS)?.row).not.toBe(rows[6]);
    }
  });
});
