import { createEngines, createTestWorld, TEST_DECLARATION } from '../__fixtures__/createTestWorld.js';
import type { Effect, RequestHead, World } from '../index.js';
import { computeBoundCap, listUsable, readLoad, runTurn, summariseLoad } from '../index.js';

function createHead(overrides: Partial<RequestHead> = {}): RequestHead {
  return {
    kind: 'model',
    service: 'assistant',
    team: 'quiet',
    chat: 'chat',
    priority: 0,
    remainingMs: 10_000,
    method: 'POST',
    path: '/v1/chat/completions',
    headers: [],
    streamsBody: false,
    ...overrides,
  };
}

function sendRequest(
  world: World,
  requestId: string,
  overrides: Partial<RequestHead> = {},
  nowMs = world.nowMs,
): Effect[] {
  return runTurn(world, [{ type: 'callerRequest', requestId, head: createHead(overrides) }], nowMs);
}

function listDispatched(effects: readonly Effect[]): string[] {
  return effects.flatMap((effect) => (effect.type === 'dispatch' ? [effect.requestId] : []));
}

function listRefused(effects: readonly Effect[]): string[] {
  return effects.flatMap((effect) => (effect.type === 'refuseCaller' ? [effect.refusal.code] : []));
}

const booking = { kind: 'plain', service: 'booking' } as const;

test('no engine exceeds its load bound, whichever chat sends requests', async () => {
  const world = await createTestWorld('box-1', { endpoints: createEngines(4) });
  for (let index = 0; index < 200; index += 1) {
    sendRequest(world, `r${index}`, { chat: `chat-${index % 3}` });
    const loads = [...world.endpoints.values()].map((row) => readLoad(world, row));
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
    expect(Math.max(...loads)).toBeLessThanOrEqual(Math.ceil(1.15 * mean));
  }
});

test('a returning chat is routed to its engine while that is within the bound', async () => {
  const world = await createTestWorld('box-1', { endpoints: createEngines(4) });
  const first = sendRequest(world, 'r1', { chat: 'mine' });
  runTurn(
    world,
    [{ type: 'callEnded', requestId: 'r1', attempt: 1, outcome: { type: 'whole', status: 200 } }],
    5,
  );
  const second = sendRequest(world, 'r2', { chat: 'mine' });
  const findDispatch = (effects: readonly Effect[]): unknown =>
    effects.find((effect) => effect.type === 'dispatch');
  expect(findDispatch(second)).toMatchObject({
    endpointId: (findDispatch(first) as { endpointId: string }).endpointId,
  });
});

test('a surging team cannot use reserved capacity: a quiet team starts immediately', async () => {
  const world = await createTestWorld('box-1', { endpoints: createEngines(1) });
  const surge = Array.from({ length: 12 }, (_, index) =>
    sendRequest(world, `s${index}`, { ...booking, team: 'surging' }),
  );
  expect(surge.flatMap(listDispatched)).toHaveLength(9);
  expect(listDispatched(sendRequest(world, 'q1', { ...booking, team: 'quiet' }))).toEqual(['q1']);
});

test('freed capacity goes to the team with the fewest running calls, and within it to the highest priority', async () => {
  const world = await createTestWorld('box-1', { endpoints: createEngines(1) });
  for (let index = 0; index < 11; index += 1)
    sendRequest(world, `s${index}`, { ...booking, team: 'surging' });
  sendRequest(world, 'q0', { ...booking, team: 'quiet' });
  sendRequest(world, 'q-low', { ...booking, team: 'quiet' });
  sendRequest(world, 'q-high', { ...booking, team: 'quiet', priority: 5 });
  const outcome = { type: 'whole', status: 200 } as const;
  const effects = runTurn(world, [{ type: 'callEnded', requestId: 's0', attempt: 1, outcome }], 1);
  expect(listDispatched(effects)).toEqual(['q-high']);
});

test('a request whose wait would be too long is refused immediately, with Retry-After', async () => {
  const world = await createTestWorld('box-1', { endpoints: createEngines(1) });
  const effects = Array.from({ length: 30 }, (_, index) =>
    sendRequest(world, `s${index}`, { ...booking, team: 'surging' }),
  );
  const refusal = effects.flat().find((effect) => effect.type === 'refuseCaller');
  expect(refusal).toMatchObject({ refusal: { code: 'overloaded', ran: 'no' } });
  expect(refusal?.type === 'refuseCaller' && refusal.refusal.retryAfterMs).toBeGreaterThanOrEqual(1_000);
});

test('a queued request whose deadline is reached is refused as not run', async () => {
  const world = await createTestWorld('box-1', { endpoints: createEngines(1) });
  for (let index = 0; index < 9; index += 1) sendRequest(world, `s${index}`, { ...booking, team: 'surging' });
  sendRequest(world, 'late', { ...booking, team: 'surging', remainingMs: 400 });
  const effects = runTurn(world, [{ type: 'tick' }], 401);
  expect(effects).toContainEqual(
    expect.objectContaining({
      type: 'refuseCaller',
      requestId: 'late',
      refusal: expect.objectContaining({ ran: 'no' }),
    }),
  );
});

test('a team at its own limit is refused, others are not', async () => {
  const teams = [
    { name: 'quiet', weight: 1 },
    { name: 'surging', weight: 1, maxInFlight: 2 },
  ];
  const world = await createTestWorld('box-1', { endpoints: createEngines(1), declaration: { teams } });
  const effects = Array.from({ length: 4 }, (_, index) =>
    sendRequest(world, `s${index}`, { ...booking, team: 'surging' }),
  );
  expect(effects.flatMap(listRefused)).toEqual(['teamLimit']);
  expect(listDispatched(sendRequest(world, 'q', { ...booking }))).toEqual(['q']);
});

test('a joining engine starts slowly, and the others stay within the bound of a mean that counts it in full', async () => {
  const world = await createTestWorld('box-1', { endpoints: createEngines(4) });
  const endpoints = createEngines(5);
  runTurn(
    world,
    [{ type: 'valueRead', name: 'endpoints', text: JSON.stringify({ version: 2, endpoints }) }],
    1_000,
  );
  const model = TEST_DECLARATION.services[0];
  if (model?.kind !== 'model') throw new Error('the first service is the model');
  const rows = listUsable(world, model);
  const summary = { ...summariseLoad(world, rows), load: 499 };
  const caps = rows.map((row) => computeBoundCap(world, model, row, summary));
  expect(caps.slice(0, 4).every((cap) => cap <= 115)).toBe(true);
  expect(caps[4]).toBeLessThan(caps[0] ?? 0);
  expect(caps.reduce((sum, cap) => sum + cap, 0)).toBeGreaterThan(500);
});

test('an engine that flaps must stay listed before it gets work again', async () => {
  const world = await createTestWorld('box-1', { endpoints: createEngines(2) });
  const publish = (version: number, count: number, nowMs: number): void => {
    const text = JSON.stringify({ version, endpoints: createEngines(count) });
    runTurn(world, [{ type: 'valueRead', name: 'endpoints', text }], nowMs);
  };
  publish(2, 1, 1_000);
  publish(3, 2, 2_000);
  const model = TEST_DECLARATION.services[0];
  if (model === undefined) throw new Error('no model');
  expect(listUsable(world, model).map((row) => row.id)).toEqual(['engine-1']);
  runTurn(world, [{ type: 'tick' }], 2_000 + world.settings.flapHoldMs);
  expect(listUsable(world, model)).toHaveLength(2);
});

test('an endpoint that reports that it is leaving gets no new work', async () => {
  const world = await createTestWorld('box-1', { endpoints: createEngines(2) });
  runTurn(world, [{ type: 'endpointReport', endpointId: 'engine-1', inFlight: 0, leaving: true }], 10);
  for (let index = 0; index < 8; index += 1) sendRequest(world, `r${index}`, { ...booking });
  expect(world.endpoints.get('engine-1')?.inFlight).toBe(0);
  expect(world.endpoints.get('engine-2')?.inFlight).toBe(8);
});

test.each([
  ['breaks off', { type: 'broken', code: 'endpointBroke' } as const],
  ['answers with errors', { type: 'whole', status: 500 } as const],
])('an endpoint that %s again and again is ejected, but not all of them', async (_name, outcome) => {
  const world = await createTestWorld('box-1', { endpoints: createEngines(3) });
  for (let index = 0; index < 40; index += 1) {
    sendRequest(world, `r${index}`, { chat: `c${index}` });
    runTurn(world, [{ type: 'callEnded', requestId: `r${index}`, attempt: 1, outcome }], 1 + index);
  }
  const ejected = [...world.endpoints.values()].filter((row) => row.ejectedUntilMs > world.nowMs);
  expect(ejected).toHaveLength(1);
});

test('a call that was never sent goes to the next endpoint; one that may have been is not sent again', async () => {
  const world = await createTestWorld('box-1', { endpoints: createEngines(2) });
  sendRequest(world, 'r1', booking);
  const again = runTurn(
    world,
    [{ type: 'callEnded', requestId: 'r1', attempt: 1, outcome: { type: 'notSent' } }],
    1,
  );
  expect(listDispatched(again)).toEqual(['r1']);
  const outcome = { type: 'broken', code: 'endpointBroke' } as const;
  const broken = runTurn(world, [{ type: 'callEnded', requestId: 'r1', attempt: 1, outcome }], 2);
  expect(listDispatched(broken)).toEqual([]);
  expect(broken).toContainEqual(
    expect.objectContaining({ type: 'refuseCaller', refusal: expect.objectContaining({ ran: 'unknown' }) }),
  );
});

test('retries stop when the budget of the service is spent', async () => {
  const world = await createTestWorld('box-1', { endpoints: createEngines(2), settings: { retryBurst: 2 } });
  const outcome = { type: 'broken', code: 'endpointBroke' } as const;
  let retries = 0;
  for (let index = 0; index < 5; index += 1) {
    sendRequest(world, `r${index}`, {}, index * 10);
    const effects = runTurn(
      world,
      [{ type: 'callEnded', requestId: `r${index}`, attempt: 1, outcome }],
      index * 10,
    );
    retries += effects.filter(
      (effect) => effect.type === 'count' && effect.counter.startsWith('retry.'),
    ).length;
  }
  expect(retries).toBe(2);
});

test("a request without a deadline has its service's default deadline", async () => {
  const world = await createTestWorld('box-1');
  sendRequest(world, 'r1', { ...booking, remainingMs: 0 });
  expect(world.requests.get('r1')?.deadlineMs).toBe(10_000);
});
