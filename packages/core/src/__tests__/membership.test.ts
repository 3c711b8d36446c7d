import { createEngines, createTestWorld } from '../__fixtures__/createTestWorld.js';
import type { ControlFrame, Effect, HeartbeatFrame, RequestHead, World } from '../index.js';
import { directoryKey, findHomeBox, runTurn } from '../index.js';

const heartbeat: HeartbeatFrame = {
  type: 'heartbeat',
  loads: [],
  stamps: [],
  confirmedAtMs: [],
  stopping: false,
  platformOk: true,
};

function receive(world: World, from: string, frame: ControlFrame, nowMs: number): Effect[] {
  return runTurn(world, [{ type: 'frame', from, frame }], nowMs);
}

function listSent(effects: readonly Effect[], type: ControlFrame['type']): ControlFrame[] {
  return effects.flatMap((effect) =>
    effect.type === 'send' && effect.frame.type === type ? [effect.frame] : [],
  );
}

test('a silent peer is not live after its lease, and is live again after a heartbeat', async () => {
  const world = await createTestWorld('box-1', { boxIds: ['box-1', 'box-2'] });
  expect(world.live.all).toEqual(['box-1', 'box-2']);
  runTurn(world, [{ type: 'tick' }], world.settings.leaseMs + 1);
  expect(world.live.all).toEqual(['box-1']);
  receive(world, 'box-2', heartbeat, world.settings.leaseMs + 2);
  expect(world.live.all).toEqual(['box-1', 'box-2']);
});

test('a peer is not live after its link broke, and its endpoints are owned by the remaining boxes', async () => {
  const world = await createTestWorld('box-1', { boxIds: ['box-1', 'box-2'], endpoints: createEngines(8) });
  runTurn(world, [{ type: 'peerDown', boxId: 'box-2' }], 10);
  expect([...world.endpoints.values()].map((row) => row.ownerId)).toEqual(Array(8).fill('box-1'));
});

test('the endpoints of a hall without a live box are owned by boxes of another hall', async () => {
  const world = await createTestWorld('box-1', { endpoints: createEngines(2, 'antigua') });
  expect([...world.endpoints.values()].map((row) => row.ownerId)).toEqual(['box-1', 'box-1']);
});

test('boxes with the same lists agree on the owner of every endpoint', async () => {
  const options = { boxIds: ['box-1', 'box-2', 'box-3'], endpoints: createEngines(20) };
  const worlds = await Promise.all(options.boxIds.map((id) => createTestWorld(id, options)));
  const tables = worlds.map((world) => [...world.endpoints.values()].map((row) => row.ownerId));
  expect(tables[1]).toEqual(tables[0]);
  expect(tables[2]).toEqual(tables[0]);
  expect(new Set(tables[0]).size).toBe(3);
});

test('a stopping box hands its directory entries over to their new home boxes', async () => {
  const world = await createTestWorld('box-1', { boxIds: ['box-1', 'box-2'], endpoints: createEngines(8) });
  const own = Array.from({ length: 50 }, (_, index) => `chat-${index}`).filter(
    (chat) => findHomeBox(world, 'assistant', chat) === 'box-1',
  );
  for (const chat of own) world.directory.recordEngine(directoryKey('assistant', chat), 'engine-1');
  const frames = listSent(runTurn(world, [{ type: 'stopRequested' }], 5), 'directory');
  const moved = frames.flatMap((frame) => (frame.type === 'directory' ? frame.entries : []));
  expect(moved.map(([key]) => key).sort()).toEqual(own.map((chat) => directoryKey('assistant', chat)).sort());
  expect(world.directory.size).toBe(0);
});

test.each([
  ['may have run', 'box-1', 'boxStopped', 'unknown'],
  ['waits for its next attempt', undefined, 'stopping', 'no'],
] as const)(
  'a request that %s at the time limit of a stop gets a final refusal',
  async (_what, target, code, ran) => {
    const settings = { drainTimeoutMs: 1_000 };
    const world = await createTestWorld('box-1', { endpoints: createEngines(1), settings });
    const head = {
      kind: 'plain',
      service: 'booking',
      team: 'quiet',
      chat: 'c',
      remainingMs: 0,
    } as RequestHead;
    runTurn(world, [{ type: 'callerRequest', requestId: 'r', head }], 5);
    const row = world.requests.get('r');
    if (row === undefined) throw new Error('the request was not accepted');
    if (target === undefined) Object.assign(row, { phase: 'backingOff', retryAtMs: 9_000 });
    runTurn(world, [{ type: 'stopRequested' }], 10);
    const effects = runTurn(world, [{ type: 'tick' }], 1_100);
    expect(effects).toContainEqual({
      type: 'refuseCaller',
      requestId: 'r',
      refusal: { code, ran, retryAfterMs: expect.any(Number) as number },
    });
    expect(effects.at(-1)).toEqual({ type: 'stopped' });
  },
);

test('a newer file that a peer advertises is requested from it, and an older file is ignored', async () => {
  const world = await createTestWorld('box-1', { boxIds: ['box-1', 'box-2'] });
  const newer = { ...heartbeat, stamps: [[2, 0] as const, [0, 0] as const, [0, 0] as const] };
  expect(listSent(receive(world, 'box-2', newer, 10), 'valueRequest')).toEqual([
    { type: 'valueRequest', name: 'declared' },
  ]);
  const text = world.values.declared.text.replace('"revision":1', '"revision":2');
  const old = world.values.declared.text;
  receive(world, 'box-2', { type: 'value', name: 'declared', text }, 20);
  expect(world.declared?.declaration.revision).toBe(2);
  runTurn(world, [{ type: 'valueRead', name: 'declared', text: old }], 30);
  expect(world.declared?.declaration.revision).toBe(2);
});

test('of two files with one revision, the same one comes into force in either order', async () => {
  const rivals = ['red', 'blue'];
  const results = [];
  for (const order of [rivals, [...rivals].reverse()]) {
    const world = await createTestWorld('box-1');
    for (const deployment of order) {
      const declaration = { ...world.declared?.declaration, revision: 5, deployment };
      runTurn(world, [{ type: 'valueRead', name: 'declared', text: JSON.stringify(declaration) }], 10);
    }
    results.push(world.declared?.declaration.deployment);
  }
  expect(results[0]).toBe(results[1]);
});

test('only a few boxes of a hall watch the platform; when they cannot reach it, others take over', async () => {
  const boxIds = ['box-1', 'box-2', 'box-3', 'box-4', 'box-5'];
  const watchers = [];
  for (const id of boxIds) {
    const world = await createTestWorld(id, { boxIds });
    runTurn(world, [{ type: 'platformContact', name: 'boxes', ok: true, requestedAtMs: 10 }], 10);
    if (world.watchedValueNames.includes('declared')) watchers.push(id);
    for (const other of boxIds) {
      if (other !== id) receive(world, other, { ...heartbeat, platformOk: false }, 20);
    }
    runTurn(world, [{ type: 'tick' }], 30);
    expect(world.watchedValueNames).toContain('declared');
  }
  expect(watchers).toHaveLength(2);
});
